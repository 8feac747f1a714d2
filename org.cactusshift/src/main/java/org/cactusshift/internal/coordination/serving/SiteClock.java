package org.cactusshift.internal.coordination.serving;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.cactusshift.id.InstanceId;

/**
 * Estimates the wall-clock time as the median of the clocks of all nodes, so that a clock that jumps on a minority of
 * nodes does not move the usage windows.
 */
public final class SiteClock {
    /** A time that a peer reported longer ago than this is ignored. */
    private static final long REPORT_VALID_MILLIS = 3_000;

    private final Map<InstanceId, PeerTime> peerTimes = new HashMap<>();

    private record PeerTime(long offsetMillis, long receivedAtMillis) {}

    /**
     * Records the wall-clock time that a peer reported.
     *
     * @param node the peer
     * @param epochMillis the wall-clock time of the peer
     * @param nowMillis the current monotonic time
     */
    public void onPeerTime(InstanceId node, long epochMillis, long nowMillis) {
        peerTimes.put(node, new PeerTime(epochMillis - nowMillis, nowMillis));
    }

    /**
     * Returns the estimated wall-clock time.
     *
     * @param ownEpochMillis the wall-clock time of this node
     * @param nowMillis the current monotonic time
     * @return milliseconds since the Unix epoch
     */
    public long epochMillis(long ownEpochMillis, long nowMillis) {
        peerTimes.values().removeIf(other -> nowMillis - other.receivedAtMillis() > REPORT_VALID_MILLIS);
        long[] offsets = new long[peerTimes.size() + 1];
        int count = 0;
        for (PeerTime other : peerTimes.values()) {
            offsets[count++] = other.offsetMillis();
        }
        offsets[count] = ownEpochMillis - nowMillis;
        Arrays.sort(offsets);
        return nowMillis + offsets[offsets.length / 2];
    }
}
