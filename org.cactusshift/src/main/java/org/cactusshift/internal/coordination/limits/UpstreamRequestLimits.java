package org.cactusshift.internal.coordination.limits;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * The limits on requests per second that upstreams state in their responses.
 *
 * <p>Not thread-safe.
 */
public final class UpstreamRequestLimits {
    private final Map<UpstreamIncarnation, Double> limitByUpstream = new HashMap<>();

    private UpstreamRequestLimits() {}

    /** What a response changed. */
    public enum Change {
        /** The upstream states the same limit as before, or none as before. */
        NONE,
        /** The upstream states a limit that was not known, or another one than before. */
        STATED,
        /** The upstream states no limit any more. */
        ENDED
    }

    /**
     * Returns a registry in which no upstream has a limit.
     *
     * @return the registry
     */
    public static UpstreamRequestLimits create() {
        return new UpstreamRequestLimits();
    }

    /**
     * Records what a response of an upstream states.
     *
     * @param upstream the upstream
     * @param requestsPerSecond the limit that it states for all nodes together, empty when it states none
     * @return what changed
     */
    public Change onResponse(UpstreamIncarnation upstream, OptionalDouble requestsPerSecond) {
        if (requestsPerSecond.isEmpty()) {
            return limitByUpstream.remove(upstream) == null ? Change.NONE : Change.ENDED;
        }
        Double known = limitByUpstream.put(upstream, requestsPerSecond.getAsDouble());
        return known != null && known == requestsPerSecond.getAsDouble() ? Change.NONE : Change.STATED;
    }

    /**
     * Returns the number of upstreams with a limit.
     *
     * @return the number of upstreams
     */
    public int limitedCount() {
        return limitByUpstream.size();
    }
}
