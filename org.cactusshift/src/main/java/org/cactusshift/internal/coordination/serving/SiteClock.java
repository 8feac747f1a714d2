package org.cactusshift.internal.coordination.serving;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.cactusshift.id.InstanceId;

/**
 * Estimates the wall-clock time as the median of the clocks of this node and of the peers that reported recently, so
 * that a clock that jumps on a minority of nodes does not move the usage windows. Of an even number of clocks, the
 * upper median is used.
 */
public final class SiteClock {
    /** A time that a peer reported longer ago than this is ignored. */
    private static final long REPORT_VALID_MILLIS = 3_000;

    private final Map<InstanceId, PeerTime> peerTimeByNode = new HashMap<>();

    private record PeerTime(long offsetMillis, long receivedAtMillis) {}

    /**
     * Records the wall-clock time that a peer reported.
     *
     * @param node the peer
     * @param epochMillis the wall-clock time of the peer
     * @param nowMillis the current monotonic time
     */
    public void onPeerTime(InstanceId node, long epochMillis, long nowMillis) {
        peerTimeByNode.put(node, new PeerTime(epochMillis - nowMillis, nowMillis));
    }

    /**
     * Returns the estimated wall-clock time.
     *
     * @param ownEpochMillis the wall-clock time of this node
     * @param nowMillis the current monotonic time
     * @return milliseconds since the Unix epoch
     */
    public long epochMillis(long ownEpochMillis, long nowMillis) {
        peerTimeByNode.values().removeIf(report -> nowMillis - report.receivedAtMillis() > REPORT_VALID_MILLIS);
        long[] offsets = new long[peerTimeByNode.size() + 1];
        int count = 0;
        for (PeerTime report : peerTimeByNode.values()) {
            offsets[count++] = report.offsetMillis();
        }
        offsets[count] = ownEpochMillis - nowMillis;
        Arrays.sort(offsets);
        return nowMillis + offsets[offsets.length / 2];
    }
}
