package org.cactusshift.internal.coordination.serving;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.cactusshift.id.InstanceId;

/**
 * Estimates the time of day from the clocks of all nodes, so that a clock that jumps on some nodes moves no usage
 * window: the median of what the nodes tell counts.
 */
public final class SiteClock {
    /** What a node told longer ago than this no longer counts. */
    private static final long TOLD_MILLIS = 3_000;

    private final Map<InstanceId, Told> told = new HashMap<>();

    private record Told(long offsetMillis, long atMillis) {}

    /**
     * Takes the time of day that another node told.
     *
     * @param node the node
     * @param unixMillis its time of day
     * @param nowMillis the present steady time
     */
    public void onPeerTime(InstanceId node, long unixMillis, long nowMillis) {
        told.put(node, new Told(unixMillis - nowMillis, nowMillis));
    }

    /**
     * Returns the estimated time of day.
     *
     * @param ownUnixMillis the time of day by this node's clock
     * @param nowMillis the present steady time
     * @return milliseconds since the start of 1970
     */
    public long epochMillis(long ownUnixMillis, long nowMillis) {
        told.values().removeIf(other -> nowMillis - other.atMillis() > TOLD_MILLIS);
        long[] offsets = new long[told.size() + 1];
        int count = 0;
        for (Told other : told.values()) {
            offsets[count++] = other.offsetMillis();
        }
        offsets[count] = ownUnixMillis - nowMillis;
        Arrays.sort(offsets);
        return nowMillis + offsets[offsets.length / 2];
    }
}
