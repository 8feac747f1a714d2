package org.cactusshift.internal.coordination.lease;

import io.vavr.control.Either;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.cactusshift.errors.Failure;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.SiteId;
import org.cactusshift.internal.coordination.DaemonThreads;
import org.cactusshift.internal.coordination.store.KeyValueStore;
import org.cactusshift.internal.coordination.store.LeaseGrant;
import org.cactusshift.internal.coordination.store.RangeResult;
import org.cactusshift.internal.coordination.store.SwapResult;
import org.cactusshift.internal.coordination.store.VersionedValue;

/**
 * Acquires and holds duties for this node: runs the actions of a {@link DutyStateMachine} as blocking store calls on
 * threads of its own.
 *
 * <p>Lease calls have a thread of their own, so that no other store call delays a renewal. Thread-safe.
 */
public final class DutyService implements AuthoritySource, DutyDirectory, AutoCloseable {
    private static final System.Logger LOG = System.getLogger(DutyService.class.getName());
    private static final long TICK_MILLIS = 100;
    private static final long STOP_POLL_MILLIS = 10;

    private final KeyValueStore store;
    private final SiteId site;
    private final DutyHolder self;
    private final LeaseTiming timing;
    private final LongSupplier clockMillis;
    private final DutyStateMachine machine;
    private final ScheduledExecutorService timer =
            Executors.newSingleThreadScheduledExecutor(DaemonThreads.named("duty-timer"));
    private final ExecutorService leaseCalls = Executors.newSingleThreadExecutor(DaemonThreads.named("duty-lease"));
    private final ExecutorService keyCalls = Executors.newSingleThreadExecutor(DaemonThreads.named("duty-keys"));

    private final Object lock = new Object();
    private DutyState state = DutyState.INITIAL;
    private Set<DutyId> requiredDuties = Set.of();
    private Set<InstanceId> liveNodes = Set.of();

    private DutyService(
            KeyValueStore store, SiteId site, DutyHolder self, LeaseTiming timing, LongSupplier clockMillis) {
        this.store = Objects.requireNonNull(store, "store");
        this.site = Objects.requireNonNull(site, "site");
        this.self = Objects.requireNonNull(self, "self");
        this.timing = Objects.requireNonNull(timing, "timing");
        this.clockMillis = Objects.requireNonNull(clockMillis, "clockMillis");
        this.machine = DutyStateMachine.create(self, timing);
    }

    /**
     * Creates a service that is not yet started.
     *
     * @param store the key-value store
     * @param site the site
     * @param self the node; its lease id is ignored
     * @param timing the periods of the leases
     * @param clockMillis the monotonic clock
     * @return the service
     */
    public static DutyService create(
            KeyValueStore store, SiteId site, DutyHolder self, LeaseTiming timing, LongSupplier clockMillis) {
        return new DutyService(store, site, self, timing, clockMillis);
    }

    /** Starts to acquire vacant duties. */
    public void start() {
        timer.scheduleWithFixedDelay(this::tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Sets the duties that must have a holder. A held duty that is no longer required is kept as long as the node's
     * lease, which all its duties share.
     *
     * @param duties the duties
     */
    public void setRequiredDuties(Collection<DutyId> duties) {
        synchronized (lock) {
            requiredDuties = Set.copyOf(duties);
        }
    }

    /**
     * Sets the nodes that are ranked for each duty.
     *
     * @param liveNodes the live nodes that are not leaving, with or without this node
     */
    public void setLiveNodes(Collection<InstanceId> liveNodes) {
        synchronized (lock) {
            this.liveNodes = Set.copyOf(liveNodes);
        }
    }

    @Override
    public Optional<Authority> authority(DutyId duty, long nowMillis) {
        synchronized (lock) {
            return state.authority(duty, nowMillis);
        }
    }

    @Override
    public Optional<DutyHolder> holder(DutyId duty) {
        synchronized (lock) {
            return Optional.ofNullable(state.holderByDuty().get(duty));
        }
    }

    /**
     * Returns the duties that this node last knew to hold.
     *
     * @return the duties, also when their lease may have expired; {@link #authority} tells whether this node may act
     */
    public Set<DutyId> heldDuties() {
        synchronized (lock) {
            return state.fencingNumberByDuty().keySet();
        }
    }

    /** Reads the duty keys at once; called after a peer reported that it is leaving. */
    public void refresh() {
        execute(keyCalls, this::readDutyKeys);
    }

    /** Gives up all duties, so that the next nodes in rank acquire them at once, and stops. */
    @Override
    public void close() {
        apply(new DutyEvent.StopRequested());
        timer.shutdownNow();
        revokeLease();
        leaseCalls.shutdownNow();
        keyCalls.shutdownNow();
    }

    /**
     * Waits at most one renewal period for a pending lease call to complete and the lease to be revoked; otherwise the
     * lease is left to expire.
     */
    private void revokeLease() {
        long endMillis = clockMillis.getAsLong() + timing.renewalPeriodMillis();
        try {
            while (hasLease() && clockMillis.getAsLong() < endMillis) {
                tick();
                Thread.sleep(STOP_POLL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean hasLease() {
        synchronized (lock) {
            return !state.grant().equals(LeaseGrant.NONE);
        }
    }

    private void tick() {
        DutyEvent.Tick event;
        synchronized (lock) {
            event = new DutyEvent.Tick(requiredDuties, liveNodes);
        }
        apply(event);
    }

    private void apply(DutyEvent event) {
        List<DutyAction> actions;
        synchronized (lock) {
            DutyStateMachine.Step step = machine.apply(state, event, clockMillis.getAsLong());
            state = step.state();
            actions = step.actions();
        }
        actions.forEach(this::submit);
    }

    private void submit(DutyAction action) {
        if (action instanceof DutyAction.GrantLease) {
            execute(leaseCalls, this::requestLease);
        } else if (action instanceof DutyAction.RenewLease renew) {
            execute(leaseCalls, () -> renewLease(renew.grant()));
        } else if (action instanceof DutyAction.RevokeLease revoke) {
            execute(leaseCalls, () -> revoke(revoke.grant()));
        } else if (action instanceof DutyAction.ListDuties) {
            execute(keyCalls, this::readDutyKeys);
        } else if (action instanceof DutyAction.AcquireDuty acquire) {
            execute(keyCalls, () -> acquire(acquire.duty(), acquire.grant()));
        }
    }

    private static void execute(ExecutorService calls, Runnable call) {
        try {
            calls.execute(call);
        } catch (RejectedExecutionException e) {
            LOG.log(System.Logger.Level.DEBUG, "store call for duties dropped: the duty service is shut down", e);
        }
    }

    private void requestLease() {
        long sentAtMillis = clockMillis.getAsLong();
        apply(store.grantLease(timing.ttlMillis())
                .fold(
                        failure -> leaseFailed(LeaseGrant.NONE, failure),
                        grant -> new DutyEvent.LeaseGranted(grant, sentAtMillis)));
    }

    private void renewLease(LeaseGrant grant) {
        long sentAtMillis = clockMillis.getAsLong();
        apply(store.keepAlive(grant)
                .fold(
                        failure -> leaseFailed(grant, failure),
                        renewed -> new DutyEvent.LeaseGranted(renewed, sentAtMillis)));
    }

    private static DutyEvent leaseFailed(LeaseGrant grant, Failure failure) {
        LOG.log(System.Logger.Level.WARNING, failure::toString);
        return new DutyEvent.LeaseFailed(grant, failure.kind() == Failure.Kind.REJECTED);
    }

    private void revoke(LeaseGrant grant) {
        store.revokeLease(grant).peekLeft(failure -> LOG.log(System.Logger.Level.WARNING, failure::toString));
        apply(new DutyEvent.LeaseRevoked());
    }

    private void readDutyKeys() {
        Either<Failure, RangeResult> range = store.list(DutyId.keyPrefix(site));
        range.peekLeft(failure -> LOG.log(System.Logger.Level.WARNING, failure::toString));
        apply(range.fold(failure -> new DutyEvent.ListFailed(), this::toDutiesListed));
    }

    private DutyEvent toDutiesListed(RangeResult range) {
        Map<DutyId, DutyEvent.Entry> entries = new HashMap<>();
        for (VersionedValue value : range.values()) {
            // A holder that can't be parsed counts as absent: its duty counts as vacant, but acquiring it fails as long
            // as the key exists.
            Optional<DutyId> duty = DutyId.fromKey(site, value.key());
            Optional<DutyHolder> holder = DutyHolder.fromBytes(value.value());
            if (duty.isPresent() && holder.isPresent()) {
                entries.put(duty.get(), new DutyEvent.Entry(holder.get(), value.createRevision()));
            }
        }
        return new DutyEvent.DutiesListed(entries);
    }

    private void acquire(DutyId duty, LeaseGrant grant) {
        byte[] value = self.withLease(grant.leaseId()).toBytes();
        Either<Failure, SwapResult> swap = store.compareAndSwap(duty.key(site), 0, value, grant);
        boolean acquired = swap.isRight() && swap.get().isApplied();
        if (acquired) {
            LOG.log(System.Logger.Level.INFO, "acquired duty {0}", duty);
            apply(new DutyEvent.DutyAcquired(duty, grant.leaseId(), swap.get().revision()));
        } else {
            apply(new DutyEvent.AcquisitionFailed(duty));
        }
    }
}
