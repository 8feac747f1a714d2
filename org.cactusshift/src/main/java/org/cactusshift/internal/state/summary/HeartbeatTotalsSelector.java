package org.cactusshift.internal.state.summary;

import java.util.HashMap;
import java.util.Map;

/**
 * Selects the running totals for the next heartbeat: those that changed since they were last sent, and periodically
 * all of them, so that a peer that missed a heartbeat catches up.
 *
 * <p>Not thread-safe; used by the sender of heartbeats only.
 */
public final class HeartbeatTotalsSelector {
    private final int heartbeatsPerFullSet;
    private final Map<AccountServicePair, ServedTotals> lastSentTotalsByPair = new HashMap<>();
    private long heartbeatCount;

    private HeartbeatTotalsSelector(int heartbeatsPerFullSet) {
        this.heartbeatsPerFullSet = heartbeatsPerFullSet;
    }

    /**
     * Returns a selector that has selected no totals yet.
     *
     * @param heartbeatsPerFullSet the number of heartbeats from one with all totals to the next, at least 1
     * @return the selector
     */
    public static HeartbeatTotalsSelector create(int heartbeatsPerFullSet) {
        return new HeartbeatTotalsSelector(heartbeatsPerFullSet);
    }

    /**
     * Selects the totals for the next heartbeat and records them as sent.
     *
     * @param current the current totals of all accounts and services
     * @return the totals to send
     */
    public Map<AccountServicePair, ServedTotals> selectForNextHeartbeat(Map<AccountServicePair, ServedTotals> current) {
        boolean full = heartbeatCount % heartbeatsPerFullSet == 0;
        heartbeatCount++;
        Map<AccountServicePair, ServedTotals> selected = new HashMap<>();
        current.forEach((pair, totals) -> {
            if (full || !totals.equals(lastSentTotalsByPair.get(pair))) {
                selected.put(pair, totals);
            }
        });
        lastSentTotalsByPair.keySet().retainAll(current.keySet());
        lastSentTotalsByPair.putAll(selected);
        return selected;
    }
}
