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
    private final int heartbeatsPerFullSet;
    private final Map<AccountServicePair, ServedTotals> lastSent = new HashMap<>();
    private long heartbeatCount;

    private HeartbeatTotalsSelector(int fullEvery) {
        this.heartbeatsPerFullSet = fullEvery;
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
        boolean full = heartbeatCount % heartbeatsPerFullSet == 0;
        heartbeatCount++;
        Map<AccountServicePair, ServedTotals> chosen = new HashMap<>();
        current.forEach((key, totals) -> {
            if (full || !totals.equals(lastSent.get(key))) {
                chosen.put(key, totals);
            }
        });
        lastSent.keySet().retainAll(current.keySet());
        lastSent.putAll(chosen);
        return chosen;
    }
}
