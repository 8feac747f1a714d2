package org.cactusshift.internal.coordination.serving;

import java.util.ArrayDeque;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.quarantine.Quarantine;

/**
 * Tells crashes from lost connections: a request is suspected only when its upstream is seen to have gone down soon
 * after the connection broke.
 */
public final class CrashDetector {
    /** A crashed upstream refuses connections or tells a new start within this time. */
    private static final long WITNESS_MILLIS = 4_000;

    private static final int MAXIMUM_BREAKS = 1_024;

    private final Quarantine quarantine;
    private final ArrayDeque<Break> breaks = new ArrayDeque<>();

    private CrashDetector(Quarantine quarantine) {
        this.quarantine = quarantine;
    }

    private record Break(long fingerprint, UpstreamId upstream, long sentAtMillis, long brokeAtMillis) {}

    /**
     * Returns a witness that has seen nothing.
     *
     * @param quarantine takes the crashes
     * @return the witness
     */
    public static CrashDetector create(Quarantine quarantine) {
        return new CrashDetector(quarantine);
    }

    /**
     * Notes a request whose connection broke without an answer.
     *
     * @param fingerprint the fingerprint of the request
     * @param upstream where it was
     * @param sentAtMillis when it was sent
     * @param nowMillis the present time
     */
    public void onConnectionLost(long fingerprint, UpstreamId upstream, long sentAtMillis, long nowMillis) {
        breaks.addLast(new Break(fingerprint, upstream, sentAtMillis, nowMillis));
        while (breaks.size() > MAXIMUM_BREAKS
                || (!breaks.isEmpty() && nowMillis - breaks.peekFirst().brokeAtMillis() > WITNESS_MILLIS)) {
            breaks.removeFirst();
        }
    }

    /**
     * Notes that an upstream went down or started anew.
     *
     * @param upstream the upstream
     * @param nowMillis the present time
     */
    public void onUpstreamDown(UpstreamId upstream, long nowMillis) {
        breaks.removeIf(broken -> {
            boolean seen = broken.upstream().equals(upstream) && nowMillis - broken.brokeAtMillis() <= WITNESS_MILLIS;
            if (seen) {
                quarantine.onCrash(broken.fingerprint(), upstream, broken.sentAtMillis(), nowMillis);
            }
            return seen;
        });
    }
}
