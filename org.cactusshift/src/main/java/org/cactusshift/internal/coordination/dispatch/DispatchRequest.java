package org.cactusshift.internal.coordination.dispatch;

import java.util.List;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.RequestId;
import org.cactusshift.id.ServiceId;

/**
 * A request submitted to a dispatcher.
 *
 * @param id the request id
 * @param account the client account that the request is charged to
 * @param service the requested service: a model or a plain service
 * @param promptTokens the estimated prompt length, in tokens; 0 for a plain service
 * @param maximumOutputTokens the maximum number of output tokens; 0 for a plain service
 * @param prefixHashes hashes of the prompt's prefixes of 1, 2, ... blocks of 2,048 tokens; empty when unknown
 * @param deadlineMillis the time by which the caller expects the complete response, monotonic
 * @param repeatable whether a further attempt is allowed after one that an upstream may have received
 * @param sharedPartHashes hashes of the parts of the prompt that other requests may have too, wherever they are in it;
 *     empty when unknown. The quarantine counts crashes per part
 * @param fingerprint the hash of account, service and body, which identifies equal requests; the quarantine counts
 *     crashes per fingerprint
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
        List<Long> sharedPartHashes,
        long fingerprint) {
    /** Makes defensive copies. */
    public DispatchRequest {
        prefixHashes = List.copyOf(prefixHashes);
        sharedPartHashes = List.copyOf(sharedPartHashes);
    }

    /** Creates a request whose prompt has no parts that are known to be shared. */
    public DispatchRequest(
            RequestId id,
            AccountId account,
            ServiceId service,
            long promptTokens,
            long maximumOutputTokens,
            List<Long> prefixHashes,
            long deadlineMillis,
            boolean repeatable,
            long fingerprint) {
        this(
                id,
                account,
                service,
                promptTokens,
                maximumOutputTokens,
                prefixHashes,
                deadlineMillis,
                repeatable,
                List.of(),
                fingerprint);
    }
}
