package org.cactusshift.internal.state.summary;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cactusshift.id.IncarnationId;

/**
 * Turns the running totals that other nodes send into differences, so that a lost, repeated or reordered heartbeat
 * neither loses nor doubles service.
 *
 * <p>State is kept in shards by account, each under its own lock. Safe for use by several threads.
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
     * Returns an empty table.
     *
     * @return the table
     */
    public static PeerTotalsTracker create() {
        return new PeerTotalsTracker();
    }

    /**
     * Takes the totals of an account at another node.
     *
     * @param sender the start of the other node
     * @param key the account and service
     * @param totals the totals since that start
     * @return what came since the sender's totals seen before, with the requests now open at all other nodes together
     */
    public ServedTotals recordTotals(IncarnationId sender, AccountServicePair key, ServedTotals totals) {
        return shard(key).recordTotals(sender, key, totals);
    }

    /**
     * Forgets a node that is gone; its open requests no longer count.
     *
     * @param sender the start of the node
     * @return the accounts whose open requests changed, with the requests now open at the other nodes
     */
    public Map<AccountServicePair, Integer> removePeer(IncarnationId sender) {
        Map<AccountServicePair, Integer> changed = new HashMap<>();
        shards.forEach(shard -> shard.removePeer(sender, changed));
        return changed;
    }

    private Shard shard(AccountServicePair key) {
        return shards.get(Math.floorMod(key.account().hashCode(), SHARDS));
    }

    private static final class Shard {
        private final Map<AccountServicePair, Map<IncarnationId, ServedTotals>> totalsByPair = new HashMap<>();

        synchronized ServedTotals recordTotals(IncarnationId sender, AccountServicePair key, ServedTotals totals) {
            Map<IncarnationId, ServedTotals> senders = totalsByPair.computeIfAbsent(key, k -> new HashMap<>());
            ServedTotals before = senders.getOrDefault(sender, ServedTotals.NONE);
            // Totals only grow; a smaller one is an older message that arrived late.
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
            totalsByPair.forEach((key, senders) -> {
                ServedTotals last = senders.remove(sender);
                if (last != null && last.requestsInFlight() > 0) {
                    changed.put(key, inFlight(senders));
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
