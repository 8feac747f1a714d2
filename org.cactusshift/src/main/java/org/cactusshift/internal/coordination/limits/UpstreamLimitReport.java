package org.cactusshift.internal.coordination.limits;

import java.util.OptionalDouble;

/**
 * What a node tells its peers about the request limit of an upstream.
 *
 * @param upstream the upstream
 * @param revision how often the limit has changed in this incarnation, from 1; of two reports the higher one is newer
 * @param requestsPerSecond the limit, empty when it has ended
 * @param ageMillis the time since the last response from which the limit was read, in milliseconds
 */
public record UpstreamLimitReport(
        UpstreamIncarnation upstream, long revision, OptionalDouble requestsPerSecond, long ageMillis) {
    /** Returns whether this report replaces one of the same revision, whose change another node saw independently. */
    boolean isStricterThan(UpstreamLimitReport other) {
        return requestsPerSecond.orElse(Double.MAX_VALUE) < other.requestsPerSecond.orElse(Double.MAX_VALUE);
    }
}
