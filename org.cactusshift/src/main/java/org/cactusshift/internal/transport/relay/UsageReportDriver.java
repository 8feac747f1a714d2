package org.cactusshift.internal.transport.relay;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.lease.Authority;
import org.cactusshift.internal.coordination.serving.UsageCounts;
import org.cactusshift.internal.coordination.store.AsyncKeyValueStore;
import org.cactusshift.internal.coordination.store.LeaseGrant;
import org.cactusshift.internal.coordination.store.SwapResult;
import org.cactusshift.internal.coordination.store.VersionedValue;

/**
 * Reports each usage window with the same bytes, however often it is sent: the counts are first sealed, which is to
 * write them to the store under a key that must be absent, and only sealed bytes are sent. So the next holder of the
 * duty sends exactly the bytes that the previous one may have sent.
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

    private final UsageCounts counts;
    private final UsageReportClient client;
    private final AsyncKeyValueStore store;
    private final SiteStateFollower follower;
    private final Function<Authority, DutyCaller> callers;
    private final String prefix;
    private final EventLog log;
    private final Set<Long> reportedWindows = new HashSet<>();

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
            EventLog log) {
        this.counts = counts;
        this.client = client;
        this.store = store;
        this.follower = follower;
        this.callers = callers;
        this.prefix = prefix;
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
            EventLog log) {
        return new UsageReportDriver(counts, client, store, follower, callers, prefix, log);
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
        if (authority.isEmpty()
                || callPending
                || backingOff
                || authority.get().fencingNumber() == supersededFencingNumber) {
            return;
        }
        for (long window = current - RETAINED_WINDOWS; window < current; window++) {
            boolean isKnown =
                    window >= oldestOwnWindow || follower.nodeValueByKey().containsKey(key(window));
            if (isKnown
                    && !reportedWindows.contains(window)
                    && epochMillis >= counts.endEpochMillis(window) + usagePeriodMillis + TRANSIT_MILLIS) {
                sealAndSend(window, authority.get());
                return;
            }
        }
    }

    private String key(long window) {
        return prefix + window;
    }

    private void sealAndSend(long window, Authority authority) {
        VersionedValue sealed = follower.nodeValueByKey().get(key(window));
        if (sealed != null) {
            send(window, authority, sealed.value());
            return;
        }
        byte[] body = client.encode(window, counts.total(window));
        callPending = true;
        AsyncKeyValueStore.Write write =
                new AsyncKeyValueStore.Write(key(window), 0, body, LeaseGrant.NONE, expiredKeys(window));
        store.compareAndSwap(write, swap -> onSealed(window, authority, body, swap));
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

    private void onSealed(long window, Authority authority, byte[] body, Either<Failure, SwapResult> swap) {
        callPending = false;
        if (swap.isLeft()) {
            lastCallFailed = true;
            // The window is tried again; the store shows then whether this write took effect.
            log.event("usage.sealFailed")
                    .with("window", window)
                    .with("failure", swap.getLeft().toString())
                    .write();
        } else if (swap.get().isApplied()) {
            send(window, authority, body);
        } else if (swap.get().current().isPresent()) {
            send(window, authority, swap.get().current().get().value());
        }
        // In the remaining case, a conflict without a value, the next tick tries again.
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
