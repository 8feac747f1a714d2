package org.cactusshift.internal.state.summary;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cactusshift.id.IncarnationId;

/**
 * Converts the running totals that peers send into increments, so that tokens are counted exactly once when heartbeats
 * are lost, repeated or reordered, until the peer is removed.
 *
 * <p>The state is sharded by client account; each shard has its own lock. Thread-safe.
 */
public final class PeerTotalsTracker {
    private static final int SHARD_COUNT = 16;

    private final List<Shard> shards = new ArrayList<>();

    private PeerTotalsTracker() {
        for (int i = 0; i < SHARD_COUNT; i++) {
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
     * Records the totals of a client account and service at a peer.
     *
     * @param sender the incarnation of the peer
     * @param pair the client account and service
     * @param totals the running totals of that incarnation
     * @return the token counts since the last recorded totals of that incarnation, which are increments and not running
     *     totals, and the number of requests in flight at all peers together
     */
    public ServedTotals recordTotals(IncarnationId sender, AccountServicePair pair, ServedTotals totals) {
        return shard(pair).recordTotals(sender, pair, totals);
    }

    /**
     * Removes the totals of a peer that is gone; its requests in flight are no longer counted.
     *
     * @param sender the incarnation of the peer
     * @return the number of requests in flight at the remaining peers, by client account and service, if it changed
     */
    public Map<AccountServicePair, Integer> removePeer(IncarnationId sender) {
        Map<AccountServicePair, Integer> requestsInFlightByPair = new HashMap<>();
        shards.forEach(shard -> shard.removePeer(sender, requestsInFlightByPair));
        return requestsInFlightByPair;
    }

    private Shard shard(AccountServicePair pair) {
        return shards.get(Math.floorMod(pair.account().hashCode(), SHARD_COUNT));
    }

    private static final class Shard {
        private final Map<AccountServicePair, Map<IncarnationId, ServedTotals>> totalsByPair = new HashMap<>();

        synchronized ServedTotals recordTotals(IncarnationId sender, AccountServicePair pair, ServedTotals totals) {
            Map<IncarnationId, ServedTotals> totalsBySender =
                    totalsByPair.computeIfAbsent(pair, unused -> new HashMap<>());
            ServedTotals before = totalsBySender.getOrDefault(sender, ServedTotals.NONE);
            // Token totals never decrease; a smaller total comes from an older heartbeat that arrived late.
            // The requests in flight of such a heartbeat are taken; a later heartbeat corrects them.
            ServedTotals latest = new ServedTotals(
                    Math.max(before.prefillTokens(), totals.prefillTokens()),
                    Math.max(before.decodeTokens(), totals.decodeTokens()),
                    totals.requestsInFlight());
            totalsBySender.put(sender, latest);
            return new ServedTotals(
                    latest.prefillTokens() - before.prefillTokens(),
                    latest.decodeTokens() - before.decodeTokens(),
                    inFlight(totalsBySender));
        }

        synchronized void removePeer(IncarnationId sender, Map<AccountServicePair, Integer> requestsInFlightByPair) {
            totalsByPair.forEach((pair, totalsBySender) -> {
                ServedTotals last = totalsBySender.remove(sender);
                if (last != null && last.requestsInFlight() > 0) {
                    requestsInFlightByPair.put(pair, inFlight(totalsBySender));
                }
            });
            totalsByPair.values().removeIf(Map::isEmpty);
        }

        private static int inFlight(Map<IncarnationId, ServedTotals> totalsBySender) {
            return totalsBySender.values().stream()
                    .mapToInt(ServedTotals::requestsInFlight)
                    .sum();
        }
    }
}
