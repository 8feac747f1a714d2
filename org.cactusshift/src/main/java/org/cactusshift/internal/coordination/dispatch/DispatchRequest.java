package org.cactusshift.internal.coordination.dispatch;

import java.util.List;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.RequestId;
import org.cactusshift.id.ServiceId;

/**
 * A request that wants an upstream.
 *
 * @param id the request
 * @param account the client account that pays
 * @param service the model or plain service
 * @param promptTokens the estimated prompt length, in tokens; 0 for a plain service
 * @param maximumOutputTokens the most tokens that may be generated; 0 for a plain service
 * @param prefixHashes hashes of the prompt's prefixes of 1, 2, ... pieces of 2,048 tokens; empty when unknown
 * @param deadlineMillis the time by which the caller wants the whole answer
 * @param repeatable whether the request may be sent again after an upstream may have seen it
 * @param fingerprint the hash of account, service and body under which crashes are counted
 */
public record DispatchRequest(
        RequestId id,
        AccountId account,
        ServiceId service,
        long promptTokens,
        long maximumOutputTokens,
        List<Long> prefixHashes,
        long deadlineMillis,
        boolean repeatable,
        long fingerprint) {
    /** Copies the hashes. */
    public DispatchRequest {
        prefixHashes = List.copyOf(prefixHashes);
    }
}
