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
 * Reports each usage window once: the counts are sealed in the store first, and only sealed bytes are sent, so that a
 * successor repeats exactly what its predecessor may have sent.
 */
public final class UsageReportDriver {
    /** After the last counts of a window were told they arrive within this time. */
    private static final long TRANSIT_MILLIS = 1_000;

    /** After a failed call the next one waits this long. */
    private static final long RETRY_MILLIS = 700;

    /** Sealed windows that stay in the store for a successor. */
    private static final int KEPT_WINDOWS = 4;

    private final UsageCounts counts;
    private final UsageReportClient calls;
    private final AsyncKeyValueStore store;
    private final SiteStateFollower follower;
    private final InstanceId self;
    private final String prefix;
    private final EventLog log;
    private final Set<Long> reported = new HashSet<>();
    private long firstWindow = Long.MIN_VALUE;
    private boolean busy;
    private long notBeforeUnixMillis = Long.MIN_VALUE;
    private boolean failed;
    private long refusedNumber = Long.MIN_VALUE;

    private UsageReportDriver(
            UsageCounts counts,
            UsageReportClient calls,
            AsyncKeyValueStore store,
            SiteStateFollower follower,
            InstanceId self,
            String prefix,
            EventLog log) {
        this.counts = counts;
        this.calls = calls;
        this.store = store;
        this.follower = follower;
        this.self = self;
        this.prefix = prefix;
        this.log = log;
    }

    /**
     * Returns a runner that has reported nothing.
     *
     * @param counts the counts of all nodes
     * @param calls sends reports
     * @param store keeps sealed windows
     * @param follower knows sealed windows
     * @param self this node
     * @param prefix the start of the keys of sealed windows
     * @param log takes reports
     * @return the runner
     */
    public static UsageReportDriver create(
            UsageCounts counts,
            UsageReportClient calls,
            AsyncKeyValueStore store,
            SiteStateFollower follower,
            InstanceId self,
            String prefix,
            EventLog log) {
        return new UsageReportDriver(counts, calls, store, follower, self, prefix, log);
    }

    /**
     * Reports the next window that is due, if this node holds the duty.
     *
     * @param authority the authority, empty when this node does not hold the duty
     * @param toldMillis how often other nodes tell their counts
     * @param unixMillis the time of day
     */
    public void tick(Optional<Authority> authority, long toldMillis, long unixMillis) {
        long current = counts.window(unixMillis);
        if (firstWindow == Long.MIN_VALUE) {
            firstWindow = current;
        }
        if (failed) {
            failed = false;
            notBeforeUnixMillis = unixMillis + RETRY_MILLIS;
        }
        boolean pausing = unixMillis < notBeforeUnixMillis && notBeforeUnixMillis - unixMillis <= RETRY_MILLIS;
        if (authority.isEmpty() || busy || pausing || authority.get().fencingNumber() == refusedNumber) {
            return;
        }
        long oldest = Math.max(firstWindow, current - KEPT_WINDOWS);
        for (long window = oldest; window < current; window++) {
            if (!reported.contains(window)
                    && unixMillis >= counts.endEpochMillis(window) + toldMillis + TRANSIT_MILLIS) {
                seal(window, authority.get());
                return;
            }
        }
    }

    private String key(long window) {
        return prefix + window;
    }

    private void seal(long window, Authority authority) {
        VersionedValue sealed = follower.ownKeys().get(key(window));
        if (sealed != null) {
            send(window, authority, sealed.value());
            return;
        }
        byte[] body = calls.body(window, counts.total(window));
        busy = true;
        AsyncKeyValueStore.Write write =
                new AsyncKeyValueStore.Write(key(window), 0, body, LeaseGrant.NONE, oldKeys(window));
        store.compareAndSwap(write, swap -> onSealed(window, authority, body, swap));
    }

    private List<String> oldKeys(long window) {
        List<String> old = new ArrayList<>();
        String oldest = key(window - KEPT_WINDOWS);
        for (String known : follower.ownKeys().keySet()) {
            if (known.startsWith(prefix) && known.length() == oldest.length() && known.compareTo(oldest) < 0) {
                old.add(known);
            }
        }
        return old;
    }

    private void onSealed(long window, Authority authority, byte[] body, Either<Failure, SwapResult> swap) {
        busy = false;
        if (swap.isLeft()) {
            failed = true;
            // The window is tried again; the store tells then whether this write came through.
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
        busy = true;
        calls.report(self, authority.fencingNumber(), body, sent -> onSent(window, authority, sent));
    }

    private void onSent(long window, Authority authority, Either<Failure, Boolean> sent) {
        busy = false;
        if (sent.isLeft()) {
            failed = true;
            log.event("usage.reportFailed")
                    .with("window", window)
                    .with("failure", sent.getLeft().toString())
                    .write();
        } else if (sent.get()) {
            reported.add(window);
            reported.removeIf(old -> old < window - 2 * KEPT_WINDOWS);
            log.event("usage.reported")
                    .with("window", window)
                    .with("fencingNumber", authority.fencingNumber())
                    .write();
        } else {
            refusedNumber = authority.fencingNumber();
            log.event("usage.refused")
                    .with("window", window)
                    .with("fencingNumber", authority.fencingNumber())
                    .write();
        }
    }
}
