package org.cactusshift.internal.transport.relay;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import java.util.function.IntSupplier;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.lease.Authority;
import org.cactusshift.internal.coordination.serving.SealedWindows;
import org.cactusshift.internal.coordination.serving.UsageCounts;
import org.cactusshift.internal.coordination.store.AsyncKeyValueStore;
import org.cactusshift.internal.coordination.store.LeaseGrant;
import org.cactusshift.internal.coordination.store.SwapResult;
import org.cactusshift.internal.coordination.store.VersionedValue;

/**
 * Reports each usage window with the same bytes, however often it is sent: the counts are first sealed, which is to
 * write them to the store under a key that must be absent, and only sealed bytes are sent. So the next holder of the
 * duty sends exactly the bytes that the previous one may have sent.
 *
 * <p>A store that is restored from a copy may lose a seal. So the bytes are sent only when other nodes have had time to
 * read the seal, and each node that knows a seal which the restored store lacks writes it again.
 */
public final class UsageReportDriver {
    /** Time allowed for the last counts of a window to arrive after they were sent. */
    private static final long TRANSIT_MILLIS = 1_000;

    /** Delay before the next call after a failed one. */
    private static final long RETRY_MILLIS = 700;

    /**
     * Number of past windows that are still reported, and whose sealed counts are kept in the store for the next holder
     * of the duty.
     */
    private static final int RETAINED_WINDOWS = 4;

    /** How long after a restore no window that ended before it is sealed: other nodes may write the seal they know. */
    private static final long RESTORE_SETTLE_MILLIS = 3_000;

    /** How much longer each further node waits before it writes a lost seal again, to read whether another one has. */
    private static final long REWRITE_DELAY_PER_RANK_MILLIS = 700;

    private final UsageCounts counts;
    private final UsageReportClient client;
    private final AsyncKeyValueStore store;
    private final SiteStateFollower follower;
    private final Function<Authority, DutyCaller> callers;
    private final String prefix;
    private final EventLog log;
    private final IntSupplier rank;
    private final Set<Long> reportedWindows = new HashSet<>();
    private final SealedWindows seals = SealedWindows.create();

    /** The wall-clock time at which the last restore of the store was seen. */
    private long restoredAtEpochMillis = Long.MIN_VALUE / 2;

    private long lastEpochMillis;

    /** The window of the first tick; of earlier ones this node reports only those that another one has sealed. */
    private long oldestOwnWindow = Long.MIN_VALUE;

    private boolean callPending;
    private long notBeforeEpochMillis = Long.MIN_VALUE;

    /** Whether the last call failed and the next tick, which knows the time, must start the back-off. */
    private boolean lastCallFailed;

    private long supersededFencingNumber = Long.MIN_VALUE;

    private UsageReportDriver(
            UsageCounts counts,
            UsageReportClient client,
            AsyncKeyValueStore store,
            SiteStateFollower follower,
            Function<Authority, DutyCaller> callers,
            String prefix,
            IntSupplier rank,
            EventLog log) {
        this.counts = counts;
        this.client = client;
        this.store = store;
        this.follower = follower;
        this.callers = callers;
        this.prefix = prefix;
        this.rank = rank;
        this.log = log;
    }

    /**
     * Returns a driver that has reported nothing yet.
     *
     * @param counts the usage counts of all nodes
     * @param client sends the reports
     * @param store stores sealed windows
     * @param follower provides the sealed windows in the store
     * @param callers returns the sender of calls under an authority of this node
     * @param prefix the key prefix of sealed windows
     * @param rank supplies the position of this node among those that write lost seals again
     * @param log records reports and failures
     * @return the driver
     */
    public static UsageReportDriver create(
            UsageCounts counts,
            UsageReportClient client,
            AsyncKeyValueStore store,
            SiteStateFollower follower,
            Function<Authority, DutyCaller> callers,
            String prefix,
            IntSupplier rank,
            EventLog log) {
        return new UsageReportDriver(counts, client, store, follower, callers, prefix, rank, log);
    }

    /**
     * Records that the store was restored from a copy and may lack seals.
     *
     * @param epochMillis the wall-clock time
     */
    void onStoreRestored(long epochMillis) {
        restoredAtEpochMillis = epochMillis;
    }

    /**
     * Reports the next window that is due, if this node holds the duty.
     *
     * @param authority the authority, empty when this node does not hold the duty
     * @param usagePeriodMillis the period of the messages in which other nodes send their counts, in milliseconds
     * @param epochMillis the wall-clock time
     */
    public void tick(Optional<Authority> authority, long usagePeriodMillis, long epochMillis) {
        long current = counts.window(epochMillis);
        if (oldestOwnWindow == Long.MIN_VALUE) {
            oldestOwnWindow = current;
        }
        if (lastCallFailed) {
            lastCallFailed = false;
            notBeforeEpochMillis = epochMillis + RETRY_MILLIS;
        }
        // A wall clock that was set back must not prolong the back-off.
        boolean backingOff = epochMillis < notBeforeEpochMillis && notBeforeEpochMillis - epochMillis <= RETRY_MILLIS;
        lastEpochMillis = epochMillis;
        learnSeals(current);
        if (callPending || backingOff || !follower.hasReadCurrentEra()) {
            return;
        }
        if (rewriteLostSeal(current, authority.isPresent(), epochMillis)) {
            return;
        }
        if (authority.isEmpty() || authority.get().fencingNumber() == supersededFencingNumber) {
            return;
        }
        for (long window = current - RETAINED_WINDOWS; window < current; window++) {
            boolean isOpen = !reportedWindows.contains(window) && !seals.isConflicting(window);
            if (isOpen && advance(window, authority.get(), usagePeriodMillis, epochMillis)) {
                return;
            }
        }
    }

    /** Takes over the seals that the store holds. */
    private void learnSeals(long current) {
        seals.forgetBefore(current - 2 * RETAINED_WINDOWS);
        if (!follower.hasReadCurrentEra()) {
            return;
        }
        for (long window = current - RETAINED_WINDOWS; window < current; window++) {
            VersionedValue sealed = follower.nodeValueByKey().get(key(window));
            if (sealed != null) {
                onSeal(window, sealed.value());
            }
        }
    }

    private void onSeal(long window, byte[] body) {
        boolean wasConflicting = seals.isConflicting(window);
        if (!seals.onSealed(window, body, store.era().current(), lastEpochMillis) && !wasConflicting) {
            log.event("usage.sealsConflict").with("window", window).write();
        }
    }

    /** Writes a seal again that the restored store lacks; the nodes that know it do so one after the other. */
    private boolean rewriteLostSeal(long current, boolean holdsDuty, long epochMillis) {
        for (long window = current - RETAINED_WINDOWS; window < current; window++) {
            if (seals.isLost(window, store.era().current())) {
                long delayMillis = holdsDuty ? 0 : rank.getAsInt() * REWRITE_DELAY_PER_RANK_MILLIS;
                if (Math.abs(epochMillis - restoredAtEpochMillis) < delayMillis) {
                    return false;
                }
                log.event("usage.sealRewritten").with("window", window).write();
                seal(window, seals.find(window).orElseThrow());
                return true;
            }
        }
        return false;
    }

    /** Seals a window that is due, or sends a sealed one; returns whether a call was made. */
    private boolean advance(long window, Authority authority, long usagePeriodMillis, long epochMillis) {
        OptionalLong heldForMillis = seals.heldForMillis(window, store.era().current(), epochMillis);
        if (heldForMillis.isPresent()) {
            boolean othersHaveRead = heldForMillis.getAsLong() >= follower.longestReadPeriodMillis();
            if (othersHaveRead) {
                send(window, authority, seals.find(window).orElseThrow());
            }
            return othersHaveRead;
        }
        boolean isDue = window >= oldestOwnWindow
                && epochMillis >= counts.endEpochMillis(window) + usagePeriodMillis + TRANSIT_MILLIS;
        if (!isDue || maySealExistElsewhere(window, epochMillis)) {
            return false;
        }
        seal(window, seals.attempt(window, client.encode(window, counts.total(window))));
        return true;
    }

    /** Returns whether the window may have been sealed before a restore, so that others may write the seal again. */
    private boolean maySealExistElsewhere(long window, long epochMillis) {
        return counts.endEpochMillis(window) <= restoredAtEpochMillis
                && Math.abs(epochMillis - restoredAtEpochMillis) < RESTORE_SETTLE_MILLIS;
    }

    private String key(long window) {
        return prefix + window;
    }

    private void seal(long window, byte[] body) {
        callPending = true;
        AsyncKeyValueStore.Write write =
                new AsyncKeyValueStore.Write(key(window), 0, body, LeaseGrant.NONE, expiredKeys(window));
        store.compareAndSwap(write, swap -> onSealed(window, body, swap));
    }

    /**
     * Returns the keys of sealed windows that are no longer retained. Only keys of equal length are compared, for which
     * the order of the texts is that of the numbers.
     */
    private List<String> expiredKeys(long window) {
        List<String> old = new ArrayList<>();
        String oldest = key(window - RETAINED_WINDOWS);
        for (String existing : follower.nodeValueByKey().keySet()) {
            if (existing.startsWith(prefix) && existing.length() == oldest.length() && existing.compareTo(oldest) < 0) {
                old.add(existing);
            }
        }
        return old;
    }

    private void onSealed(long window, byte[] body, Either<Failure, SwapResult> swap) {
        callPending = false;
        if (swap.isLeft()) {
            lastCallFailed = true;
            // The window is tried again; the store shows then whether this write took effect.
            log.event("usage.sealFailed")
                    .with("window", window)
                    .with("failure", swap.getLeft().toString())
                    .write();
        } else if (swap.get().isApplied()) {
            onSeal(window, body);
        } else {
            // A conflict without a value means that the key was removed meanwhile; the next tick tries again.
            swap.get().current().ifPresent(found -> onSeal(window, found.value()));
        }
    }

    private void send(long window, Authority authority, byte[] body) {
        callPending = true;
        client.report(callers.apply(authority), body, sent -> onSent(window, authority, sent));
    }

    private void onSent(long window, Authority authority, Either<Failure, Boolean> sent) {
        callPending = false;
        if (sent.isLeft()) {
            lastCallFailed = true;
            log.event("usage.reportFailed")
                    .with("window", window)
                    .with("failure", sent.getLeft().toString())
                    .write();
        } else if (sent.get()) {
            reportedWindows.add(window);
            // Windows that old are no longer reported, so they need not be remembered.
            reportedWindows.removeIf(old -> old < window - 2 * RETAINED_WINDOWS);
            log.event("usage.reported")
                    .with("window", window)
                    .with("fencingNumber", authority.fencingNumber())
                    .write();
        } else {
            supersededFencingNumber = authority.fencingNumber();
            log.event("usage.refused")
                    .with("window", window)
                    .with("fencingNumber", authority.fencingNumber())
                    .write();
        }
    }
}
