package org.cactusshift.internal.coordination.serving;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.IncarnationId;

/**
 * Counts the requests that got a response from an upstream, at this node and at other nodes, by usage window and client
 * account.
 *
 * <p>Other nodes send running totals of a window, so that a duplicated or late message is not counted twice.
 *
 * <p>Not thread-safe.
 */
public final class UsageCounts {
    /** The number of newest windows with counts that are retained for each node: more than are still reported. */
    private static final int RETAINED_WINDOWS = 8;

    private final long windowMillis;
    private final TreeMap<Long, Map<AccountId, Long>> ownCountsByWindow = new TreeMap<>();
    private final Map<IncarnationId, TreeMap<Long, Map<AccountId, Long>>> peerCountsByIncarnation = new HashMap<>();

    private UsageCounts(long windowMillis) {
        this.windowMillis = windowMillis;
    }

    /**
     * Returns empty counts.
     *
     * @param windowMillis the length of a window
     * @return the counts
     */
    public static UsageCounts create(long windowMillis) {
        return new UsageCounts(windowMillis);
    }

    /**
     * Returns the window that contains a time.
     *
     * @param epochMillis the wall-clock time
     * @return the number of windows since the Unix epoch
     */
    public long window(long epochMillis) {
        return epochMillis / windowMillis;
    }

    /**
     * Returns the end of a window, which is the start of the next one.
     *
     * @param window the window
     * @return the wall-clock time in milliseconds
     */
    public long endEpochMillis(long window) {
        return (window + 1) * windowMillis;
    }

    /**
     * Counts a request of this node whose response has begun to arrive.
     *
     * @param account the client account
     * @param epochMillis the current wall-clock time
     */
    public void add(AccountId account, long epochMillis) {
        ownCountsByWindow
                .computeIfAbsent(window(epochMillis), key -> new HashMap<>())
                .merge(account, 1L, Long::sum);
        trim(ownCountsByWindow);
    }

    /**
     * Returns the counts of this node in the retained windows.
     *
     * @return a live view of the counts by window and account; it must not be modified
     */
    public SortedMap<Long, Map<AccountId, Long>> own() {
        return ownCountsByWindow;
    }

    /**
     * Returns the counts of nodes from which no messages arrive any more, so that they can be forwarded to the
     * collector, that is the node that collects the usage counts of all nodes.
     *
     * @param reachable the incarnations of the nodes from which messages arrive
     * @param oldestWindow the oldest window to return
     * @return the counts by incarnation, window and account
     */
    public Map<IncarnationId, Map<Long, Map<AccountId, Long>>> ofUnreachableNodes(
            Set<IncarnationId> reachable, long oldestWindow) {
        Map<IncarnationId, Map<Long, Map<AccountId, Long>>> unreachable = new HashMap<>();
        peerCountsByIncarnation.forEach((node, windows) -> {
            SortedMap<Long, Map<AccountId, Long>> recent = windows.tailMap(oldestWindow);
            if (!reachable.contains(node) && !recent.isEmpty()) {
                unreachable.put(node, new TreeMap<>(recent));
            }
        });
        return unreachable;
    }

    /**
     * Merges the running totals of another node; of two totals the higher one is kept.
     *
     * @param node the incarnation of the node
     * @param window the window
     * @param counts its counts by account
     */
    public void mergeRemote(IncarnationId node, long window, Map<AccountId, Long> counts) {
        TreeMap<Long, Map<AccountId, Long>> windows =
                peerCountsByIncarnation.computeIfAbsent(node, key -> new TreeMap<>());
        Map<AccountId, Long> totals = windows.computeIfAbsent(window, key -> new HashMap<>());
        counts.forEach((account, count) -> totals.merge(account, count, Math::max));
        trim(windows);
    }

    private static void trim(TreeMap<Long, Map<AccountId, Long>> windows) {
        while (windows.size() > RETAINED_WINDOWS) {
            windows.pollFirstEntry();
        }
    }

    /**
     * Returns the sum of the counts of all nodes.
     *
     * @param window the window
     * @return the number of requests by account
     */
    public SortedMap<AccountId, Long> total(long window) {
        TreeMap<AccountId, Long> total = new TreeMap<>();
        ownCountsByWindow
                .getOrDefault(window, Map.of())
                .forEach((account, count) -> total.merge(account, count, Long::sum));
        for (TreeMap<Long, Map<AccountId, Long>> windows : peerCountsByIncarnation.values()) {
            windows.getOrDefault(window, Map.of()).forEach((account, count) -> total.merge(account, count, Long::sum));
        }
        return total;
    }
}
