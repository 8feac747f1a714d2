package org.cactusshift.internal.state.summary;

import java.util.HashMap;
import java.util.Map;

/**
 * Chooses which totals go into the next heartbeat: those that changed since the last one, and all of them every so
 * often, so that a node that missed a heartbeat catches up.
 *
 * <p>Not thread-safe; used by the sender of heartbeats only.
 */
public final class HeartbeatTotalsSelector {
    private final int fullEvery;
    private final Map<AccountServicePair, ServedTotals> sent = new HashMap<>();
    private long heartbeats;

    private HeartbeatTotalsSelector(int fullEvery) {
        this.fullEvery = fullEvery;
    }

    /**
     * Returns a chooser that has sent nothing.
     *
     * @param fullEvery how many heartbeats pass from one with all totals to the next
     * @return the chooser
     */
    public static HeartbeatTotalsSelector create(int fullEvery) {
        return new HeartbeatTotalsSelector(fullEvery);
    }

    /**
     * Returns the totals for the next heartbeat.
     *
     * @param current the totals of all accounts
     * @return those to send
     */
    public Map<AccountServicePair, ServedTotals> selectForNextHeartbeat(Map<AccountServicePair, ServedTotals> current) {
        boolean full = heartbeats % fullEvery == 0;
        heartbeats++;
        Map<AccountServicePair, ServedTotals> chosen = new HashMap<>();
        current.forEach((key, totals) -> {
            if (full || !totals.equals(sent.get(key))) {
                chosen.put(key, totals);
            }
        });
        sent.keySet().retainAll(current.keySet());
        sent.putAll(chosen);
        return chosen;
    }
}
