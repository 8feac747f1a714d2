package org.cactusshift.internal.coordination.serving;

import java.util.List;
import java.util.Optional;
import org.cactusshift.id.ServiceId;

/**
 * A route from a host and path prefix to services.
 *
 * @param name the name, for logs
 * @param host the host, in lower case
 * @param pathPrefix the start of the paths, with a slash at both ends
 * @param kind what may be done with a request
 * @param services where requests go
 * @param timeoutMillis the longest time until the final answer
 * @param targetLatencyMillis the time within which an answer is worth most; of a stream, its first event
 * @param targetEventGapMillis the longest pause between events of a stream that is still on time; 0 when none is stated
 * @param priority the rank, 0 is the most urgent
 * @param maximumAttempts how many upstreams may run one request
 * @param open whether requests need no key
 * @param resumable whether a stream may go on at another upstream
 */
public record ServedRoute(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        List<WeightedService> services,
        long timeoutMillis,
        long targetLatencyMillis,
        long targetEventGapMillis,
        int priority,
        int maximumAttempts,
        boolean open,
        boolean resumable) {
    /** Copies the list. */
    public ServedRoute {
        services = List.copyOf(services);
    }

    /**
     * Returns whether a request may run again after an attempt that may have run.
     *
     * @return whether it may
     */
    public boolean isRetryable() {
        return kind == RequestKind.REPEATABLE || (kind == RequestKind.STREAM && resumable);
    }

    /**
     * Returns the service of a request.
     *
     * @param hash a hash of the request, any value; spreads requests by the weights
     * @return the service, empty when all weights are 0
     */
    public Optional<ServiceId> service(int hash) {
        int total = services.stream().mapToInt(WeightedService::weight).sum();
        if (total <= 0) {
            return Optional.empty();
        }
        int point = Math.floorMod(hash, total);
        for (WeightedService candidate : services) {
            point -= candidate.weight();
            if (point < 0) {
                return Optional.of(candidate.service());
            }
        }
        return Optional.empty();
    }
}
