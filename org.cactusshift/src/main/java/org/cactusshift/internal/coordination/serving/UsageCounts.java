package org.cactusshift.internal.coordination.serving;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.IncarnationId;

/**
 * Counts the started requests of this node and of other nodes, by usage window and client account.
 *
 * <p>Other nodes send running totals of a window, so that a duplicated or late message is not counted twice.
 */
public final class UsageCounts {
    /** The number of windows that are retained; a window is reported long before it is dropped. */
    private static final int RETAINED_WINDOWS = 8;

    private final long windowMillis;
    private final TreeMap<Long, Map<AccountId, Long>> own = new TreeMap<>();
    private final Map<IncarnationId, TreeMap<Long, Map<AccountId, Long>>> others = new HashMap<>();

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
     * Returns the end of a window.
     *
     * @param window the window
     * @return the wall-clock time in milliseconds
     */
    public long endEpochMillis(long window) {
        return (window + 1) * windowMillis;
    }

    /**
     * Counts a request of this node.
     *
     * @param account the client account
     * @param epochMillis the wall-clock time at which the request started
     */
    public void add(AccountId account, long epochMillis) {
        own.computeIfAbsent(window(epochMillis), key -> new HashMap<>()).merge(account, 1L, Long::sum);
        trim(own);
    }

    /**
     * Returns the counts of this node in the retained windows.
     *
     * @return the counts by window and account
     */
    public SortedMap<Long, Map<AccountId, Long>> own() {
        return own;
    }

    /**
     * Returns the counts of nodes from which no messages arrive any more, so that they can be forwarded to the
     * collector.
     *
     * @param reachable the incarnations of the nodes from which messages arrive
     * @param oldestWindow the oldest window to return
     * @return the counts by incarnation, window and account
     */
    public Map<IncarnationId, Map<Long, Map<AccountId, Long>>> ofUnreachableNodes(
            Set<IncarnationId> reachable, long oldestWindow) {
        Map<IncarnationId, Map<Long, Map<AccountId, Long>>> lost = new HashMap<>();
        others.forEach((node, windows) -> {
            SortedMap<Long, Map<AccountId, Long>> recent = windows.tailMap(oldestWindow);
            if (!reachable.contains(node) && !recent.isEmpty()) {
                lost.put(node, new TreeMap<>(recent));
            }
        });
        return lost;
    }

    /**
     * Merges the running totals of another node.
     *
     * @param node the incarnation of the node
     * @param window the window
     * @param counts its counts by account
     */
    public void mergeRemote(IncarnationId node, long window, Map<AccountId, Long> counts) {
        TreeMap<Long, Map<AccountId, Long>> windows = others.computeIfAbsent(node, key -> new TreeMap<>());
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
        own.getOrDefault(window, Map.of()).forEach((account, count) -> total.merge(account, count, Long::sum));
        for (TreeMap<Long, Map<AccountId, Long>> windows : others.values()) {
            windows.getOrDefault(window, Map.of()).forEach((account, count) -> total.merge(account, count, Long::sum));
        }
        return total;
    }
}
