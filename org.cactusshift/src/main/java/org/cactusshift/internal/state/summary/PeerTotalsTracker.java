package org.cactusshift.internal.state.summary;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cactusshift.id.IncarnationId;

/**
 * Converts the running totals that peers send into increments, so that tokens are counted exactly once when heartbeats
 * are lost, repeated or reordered.
 *
 * <p>The state is sharded by account; each shard has its own lock. Thread-safe.
 */
public final class PeerTotalsTracker {
    private static final int SHARDS = 16;

    private final List<Shard> shards = new ArrayList<>();

    private PeerTotalsTracker() {
        for (int i = 0; i < SHARDS; i++) {
            shards.add(new Shard());
        }
    }

    /**
     * Returns a tracker without totals.
     *
     * @return the tracker
     */
    public static PeerTotalsTracker create() {
        return new PeerTotalsTracker();
    }

    /**
     * Records the totals of an account and service at a peer.
     *
     * @param sender the incarnation of the peer
     * @param pair the account and service
     * @param totals the running totals of that incarnation
     * @return the token counts since the last recorded totals of that incarnation, which are increments and not running
     *     totals, and the number of requests open at all peers together
     */
    public ServedTotals recordTotals(IncarnationId sender, AccountServicePair pair, ServedTotals totals) {
        return shard(pair).recordTotals(sender, pair, totals);
    }

    /**
     * Removes the totals of a peer that is gone; its open requests are no longer counted.
     *
     * @param sender the incarnation of the peer
     * @return the number of requests open at the remaining peers, for each account and service whose number changed
     */
    public Map<AccountServicePair, Integer> removePeer(IncarnationId sender) {
        Map<AccountServicePair, Integer> changed = new HashMap<>();
        shards.forEach(shard -> shard.removePeer(sender, changed));
        return changed;
    }

    private Shard shard(AccountServicePair pair) {
        return shards.get(Math.floorMod(pair.account().hashCode(), SHARDS));
    }

    private static final class Shard {
        private final Map<AccountServicePair, Map<IncarnationId, ServedTotals>> totalsByPair = new HashMap<>();

        synchronized ServedTotals recordTotals(IncarnationId sender, AccountServicePair pair, ServedTotals totals) {
            Map<IncarnationId, ServedTotals> senders = totalsByPair.computeIfAbsent(pair, unused -> new HashMap<>());
            ServedTotals before = senders.getOrDefault(sender, ServedTotals.NONE);
            // Token totals never decrease; a smaller total comes from an older heartbeat that arrived late.
            ServedTotals latest = new ServedTotals(
                    Math.max(before.prefillTokens(), totals.prefillTokens()),
                    Math.max(before.decodeTokens(), totals.decodeTokens()),
                    totals.requestsInFlight());
            senders.put(sender, latest);
            return new ServedTotals(
                    latest.prefillTokens() - before.prefillTokens(),
                    latest.decodeTokens() - before.decodeTokens(),
                    inFlight(senders));
        }

        synchronized void removePeer(IncarnationId sender, Map<AccountServicePair, Integer> changed) {
            totalsByPair.forEach((pair, senders) -> {
                ServedTotals last = senders.remove(sender);
                if (last != null && last.requestsInFlight() > 0) {
                    changed.put(pair, inFlight(senders));
                }
            });
            totalsByPair.values().removeIf(Map::isEmpty);
        }

        private static int inFlight(Map<IncarnationId, ServedTotals> senders) {
            return senders.values().stream()
                    .mapToInt(ServedTotals::requestsInFlight)
                    .sum();
        }
    }
}
