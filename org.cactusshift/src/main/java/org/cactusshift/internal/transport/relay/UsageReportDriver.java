package org.cactusshift.internal.transport.relay;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cactusshift.errors.Failure;
import org.cactusshift.id.InstanceId;
import org.cactusshift.internal.coordination.lease.Authority;
import org.cactusshift.internal.coordination.serving.UsageCounts;
import org.cactusshift.internal.coordination.store.AsyncKeyValueStore;
import org.cactusshift.internal.coordination.store.LeaseGrant;
import org.cactusshift.internal.coordination.store.SwapResult;
import org.cactusshift.internal.coordination.store.VersionedValue;

/**
 * Reports each usage window exactly once: the counts are sealed in the store first, and only sealed bytes are sent, so
 * that the next holder of the duty sends exactly the bytes that the previous one may have sent.
 */
public final class UsageReportDriver {
    /** Time allowed for the last counts of a window to arrive after they were sent. */
    private static final long TRANSIT_MILLIS = 1_000;

    /** Delay before the next call after a failed one. */
    private static final long RETRY_MILLIS = 700;

    /** Number of sealed windows that are kept in the store for the next holder of the duty. */
    private static final int RETAINED_WINDOWS = 4;

    private final UsageCounts counts;
    private final UsageReportClient client;
    private final AsyncKeyValueStore store;
    private final SiteStateFollower follower;
    private final InstanceId self;
    private final String prefix;
    private final EventLog log;
    private final Set<Long> reported = new HashSet<>();
    private long firstWindow = Long.MIN_VALUE;
    private boolean callPending;
    private long notBeforeEpochMillis = Long.MIN_VALUE;
    private boolean failed;
    private long supersededFencingNumber = Long.MIN_VALUE;

    private UsageReportDriver(
            UsageCounts counts,
            UsageReportClient client,
            AsyncKeyValueStore store,
            SiteStateFollower follower,
            InstanceId self,
            String prefix,
            EventLog log) {
        this.counts = counts;
        this.client = client;
        this.store = store;
        this.follower = follower;
        this.self = self;
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
     * @param self this node
     * @param prefix the key prefix of sealed windows
     * @param log records reports and failures
     * @return the driver
     */
    public static UsageReportDriver create(
            UsageCounts counts,
            UsageReportClient client,
            AsyncKeyValueStore store,
            SiteStateFollower follower,
            InstanceId self,
            String prefix,
            EventLog log) {
        return new UsageReportDriver(counts, client, store, follower, self, prefix, log);
    }

    /**
     * Reports the next window that is due, if this node holds the duty.
     *
     * @param authority the authority, empty when this node does not hold the duty
     * @param publishPeriodMillis the period in which other nodes send their counts
     * @param epochMillis the wall-clock time
     */
    public void tick(Optional<Authority> authority, long publishPeriodMillis, long epochMillis) {
        long current = counts.window(epochMillis);
        if (firstWindow == Long.MIN_VALUE) {
            firstWindow = current;
        }
        if (failed) {
            failed = false;
            notBeforeEpochMillis = epochMillis + RETRY_MILLIS;
        }
        boolean backingOff = epochMillis < notBeforeEpochMillis && notBeforeEpochMillis - epochMillis <= RETRY_MILLIS;
        if (authority.isEmpty()
                || callPending
                || backingOff
                || authority.get().fencingNumber() == supersededFencingNumber) {
            return;
        }
        long oldest = Math.max(firstWindow, current - RETAINED_WINDOWS);
        for (long window = oldest; window < current; window++) {
            if (!reported.contains(window)
                    && epochMillis >= counts.endEpochMillis(window) + publishPeriodMillis + TRANSIT_MILLIS) {
                seal(window, authority.get());
                return;
            }
        }
    }

    private String key(long window) {
        return prefix + window;
    }

    private void seal(long window, Authority authority) {
        VersionedValue sealed = follower.nodeKeys().get(key(window));
        if (sealed != null) {
            send(window, authority, sealed.value());
            return;
        }
        byte[] body = client.body(window, counts.total(window));
        callPending = true;
        AsyncKeyValueStore.Write write =
                new AsyncKeyValueStore.Write(key(window), 0, body, LeaseGrant.NONE, oldKeys(window));
        store.compareAndSwap(write, swap -> onSealed(window, authority, body, swap));
    }

    private List<String> oldKeys(long window) {
        List<String> old = new ArrayList<>();
        String oldest = key(window - RETAINED_WINDOWS);
        for (String existing : follower.nodeKeys().keySet()) {
            if (existing.startsWith(prefix) && existing.length() == oldest.length() && existing.compareTo(oldest) < 0) {
                old.add(existing);
            }
        }
        return old;
    }

    private void onSealed(long window, Authority authority, byte[] body, Either<Failure, SwapResult> swap) {
        callPending = false;
        if (swap.isLeft()) {
            failed = true;
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
    }

    private void send(long window, Authority authority, byte[] body) {
        callPending = true;
        client.report(self, authority.fencingNumber(), body, sent -> onSent(window, authority, sent));
    }

    private void onSent(long window, Authority authority, Either<Failure, Boolean> sent) {
        callPending = false;
        if (sent.isLeft()) {
            failed = true;
            log.event("usage.reportFailed")
                    .with("window", window)
                    .with("failure", sent.getLeft().toString())
                    .write();
        } else if (sent.get()) {
            reported.add(window);
            reported.removeIf(old -> old < window - 2 * RETAINED_WINDOWS);
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
