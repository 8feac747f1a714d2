package org.cactusshift.systemtest;

import java.time.Instant;

/** A fault that {@link SoakFaultInjector} chose, and when it was in effect. */
final class SoakFault {
    private final SoakFaultKind kind;
    private final int nodeIndex;
    private final int upstreamIndex;
    private final long faultMillis;
    private final long chosenAtEpochMillis;

    /** {@link Long#MAX_VALUE} while the fault is in effect or has not begun. */
    private long endedAtEpochMillis = Long.MAX_VALUE;

    private boolean skipped;

    private SoakFault(
            SoakFaultKind kind, int nodeIndex, int upstreamIndex, long faultMillis, long chosenAtEpochMillis) {
        this.kind = kind;
        this.nodeIndex = nodeIndex;
        this.upstreamIndex = upstreamIndex;
        this.faultMillis = faultMillis;
        this.chosenAtEpochMillis = chosenAtEpochMillis;
    }

    static SoakFault create(
            SoakFaultKind kind, int nodeIndex, int upstreamIndex, long faultMillis, long chosenAtEpochMillis) {
        return new SoakFault(kind, nodeIndex, upstreamIndex, faultMillis, chosenAtEpochMillis);
    }

    SoakFaultKind kind() {
        return kind;
    }

    int nodeIndex() {
        return nodeIndex;
    }

    int upstreamIndex() {
        return upstreamIndex;
    }

    long faultMillis() {
        return faultMillis;
    }

    /** Records that the fault has no effect, because another one is in effect at the node. */
    synchronized void onSkipped() {
        skipped = true;
    }

    synchronized void onEnded(long nowEpochMillis) {
        endedAtEpochMillis = nowEpochMillis;
    }

    /** Returns whether the fault was in effect at some time between the two given ones. */
    synchronized boolean overlaps(long fromEpochMillis, long toEpochMillis) {
        return !skipped && chosenAtEpochMillis <= toEpochMillis && endedAtEpochMillis >= fromEpochMillis;
    }

    /** Returns the choice of the fault, which depends on the seed only. */
    String choice() {
        return kind + " " + nodeIndex + " " + upstreamIndex + " " + faultMillis;
    }

    @Override
    public synchronized String toString() {
        String end = endedAtEpochMillis == Long.MAX_VALUE ? "the end" : Instant.ofEpochMilli(endedAtEpochMillis) + "";
        return kind + " node " + nodeIndex + " upstream " + upstreamIndex + " from "
                + Instant.ofEpochMilli(chosenAtEpochMillis) + " to " + (skipped ? "(skipped)" : end);
    }
}
