package org.cactusshift.internal.coordination.quota;

import org.cactusshift.id.AccountId;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.InstanceId;

/**
 * Asks the coordinator of an account for credit and returns credit. A node repeats a request unchanged until it is
 * answered or given up.
 *
 * @param node the node that asks
 * @param incarnation its incarnation
 * @param account the client account
 * @param wanted the credit that the node wants
 * @param minimum the credit below which a grant is of no use: the smallest cost of a waiting request
 * @param returned unused credit of earlier grants
 * @param usesOwnShare whether the node admits requests by its own share, so that the coordinator must not grant that
 *     share to other nodes
 * @param sequence the number of the request, increasing with each one of the incarnation
 */
public record QuotaRequest(
        InstanceId node,
        IncarnationId incarnation,
        AccountId account,
        long wanted,
        long minimum,
        long returned,
        boolean usesOwnShare,
        long sequence) {}
