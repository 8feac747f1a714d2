package org.cactusshift.internal.coordination.serving;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.IncarnationId;

/**
 * Counts the requests that began to run, by usage window and client account, here and at other nodes.
 *
 * <p>Other nodes tell running totals of a window, so that a repeated or late message counts once.
 */
public final class UsageCounts {
    /** Windows that are kept; a report is due long before the oldest is dropped. */
    private static final int KEPT_WINDOWS = 8;

    private final long windowMillis;
    private final TreeMap<Long, Map<AccountId, Long>> own = new TreeMap<>();
    private final Map<IncarnationId, TreeMap<Long, Map<AccountId, Long>>> others = new HashMap<>();

    private UsageCounts(long windowMillis) {
        this.windowMillis = windowMillis;
    }

    /**
     * Returns counts of nothing.
     *
     * @param windowMillis the length of a window
     * @return the counts
     */
    public static UsageCounts create(long windowMillis) {
        return new UsageCounts(windowMillis);
    }

    /**
     * Returns the number of the window of a time.
     *
     * @param unixMillis the time of day
     * @return the number of windows since the start of 1970
     */
    public long window(long unixMillis) {
        return unixMillis / windowMillis;
    }

    /**
     * Returns the end of a window.
     *
     * @param window the window
     * @return the time of day, in milliseconds
     */
    public long endEpochMillis(long window) {
        return (window + 1) * windowMillis;
    }

    /**
     * Counts a request of this node.
     *
     * @param account the client account
     * @param unixMillis when it began to run
     */
    public void add(AccountId account, long unixMillis) {
        own.computeIfAbsent(window(unixMillis), key -> new HashMap<>()).merge(account, 1L, Long::sum);
        trim(own);
    }

    /**
     * Returns what this node counted lately.
     *
     * @return counts by window and account
     */
    public SortedMap<Long, Map<AccountId, Long>> own() {
        return own;
    }

    /**
     * Returns what other nodes counted that are no longer heard, so that it can be told on.
     *
     * @param heard the starts of the nodes that are heard
     * @param oldestWindow the oldest window that matters
     * @return counts by start of a node, window and account
     */
    public Map<IncarnationId, Map<Long, Map<AccountId, Long>>> ofUnreachableNodes(
            Set<IncarnationId> heard, long oldestWindow) {
        Map<IncarnationId, Map<Long, Map<AccountId, Long>>> lost = new HashMap<>();
        others.forEach((node, windows) -> {
            SortedMap<Long, Map<AccountId, Long>> recent = windows.tailMap(oldestWindow);
            if (!heard.contains(node) && !recent.isEmpty()) {
                lost.put(node, new TreeMap<>(recent));
            }
        });
        return lost;
    }

    /**
     * Takes the running total of another node.
     *
     * @param node the start of the node
     * @param window the window
     * @param counts its counts
     */
    public void mergeRemote(IncarnationId node, long window, Map<AccountId, Long> counts) {
        TreeMap<Long, Map<AccountId, Long>> windows = others.computeIfAbsent(node, key -> new TreeMap<>());
        Map<AccountId, Long> known = windows.computeIfAbsent(window, key -> new HashMap<>());
        counts.forEach((account, count) -> known.merge(account, count, Math::max));
        trim(windows);
    }

    private static void trim(TreeMap<Long, Map<AccountId, Long>> windows) {
        while (windows.size() > KEPT_WINDOWS) {
            windows.pollFirstEntry();
        }
    }

    /**
     * Returns the counts of all nodes.
     *
     * @param window the window
     * @return requests by account
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
