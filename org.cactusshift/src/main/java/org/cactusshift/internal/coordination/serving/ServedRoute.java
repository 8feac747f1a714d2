package org.cactusshift.internal.coordination.serving;

import java.util.List;
import java.util.Optional;
import org.cactusshift.id.ServiceId;

/**
 * A configured route, which maps a host and path prefix to services.
 *
 * @param name the name used in logs
 * @param host the host, in lower case
 * @param pathPrefix the path prefix, with a slash at both ends
 * @param kind the kind of the requests
 * @param services the services that take the requests, with their weights
 * @param timeoutMillis the maximum time from the arrival of the request to the end of the response
 * @param targetLatencyMillis the target time from the arrival of the request to the response; of a stream, to its first
 *     event
 * @param targetEventGapMillis the target time between two events of a stream, 0 when none is configured; a stream that
 *     is silent for a multiple of it is considered stalled
 * @param priority the priority; 0 is the most urgent
 * @param maximumAttempts the maximum number of attempts of one request that may have been executed
 * @param open whether requests need no API key
 * @param resumable whether a stream may be resumed at another upstream
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
     * Returns whether a request may be sent again after an attempt that may have been executed.
     *
     * @return whether a retry is allowed
     */
    public boolean isRetryable() {
        return kind == RequestKind.REPEATABLE || (kind == RequestKind.STREAM && resumable);
    }

    /**
     * Selects the service of a request by the weights.
     *
     * @param hash a hash of the request; equal hashes select the same service
     * @return the service, empty when all weights are 0
     */
    public Optional<ServiceId> selectService(int hash) {
        int total = services.stream().mapToInt(WeightedService::weight).sum();
        if (total <= 0) {
            return Optional.empty();
        }
        int remaining = Math.floorMod(hash, total);
        for (WeightedService candidate : services) {
            remaining -= candidate.weight();
            if (remaining < 0) {
                return Optional.of(candidate.service());
            }
        }
        return Optional.empty();
    }
}
