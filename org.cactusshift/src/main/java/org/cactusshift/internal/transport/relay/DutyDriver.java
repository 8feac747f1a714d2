package org.cactusshift.internal.transport.relay;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cactusshift.errors.Failure;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.SiteId;
import org.cactusshift.internal.coordination.lease.Authority;
import org.cactusshift.internal.coordination.lease.DutyAction;
import org.cactusshift.internal.coordination.lease.DutyEvent;
import org.cactusshift.internal.coordination.lease.DutyHolder;
import org.cactusshift.internal.coordination.lease.DutyId;
import org.cactusshift.internal.coordination.lease.DutyState;
import org.cactusshift.internal.coordination.lease.DutyStateMachine;
import org.cactusshift.internal.coordination.lease.LeaseTiming;
import org.cactusshift.internal.coordination.store.AsyncKeyValueStore;
import org.cactusshift.internal.coordination.store.LeaseGrant;
import org.cactusshift.internal.coordination.store.SwapResult;
import org.cactusshift.internal.coordination.store.VersionedValue;

/**
 * Drives a {@link DutyStateMachine} on the event loop. Reads the duty keys from the {@link SiteStateFollower}, which
 * reads them anyway, so that no further calls to the store are needed.
 */
public final class DutyDriver {
    private final DutyStateMachine machine;
    private final DutyHolder self;
    private final LeaseTiming timing;
    private final SiteId site;
    private final AsyncKeyValueStore store;
    private final SiteStateFollower follower;
    private final FirstEraRecord firstEra;
    private final RelayClock clock;
    private final EventLog log;
    private DutyState state = DutyState.INITIAL;
    private long lastRenewalSentEpochMillis;
    private Map<DutyId, Long> lastLoggedDuties = Map.of();

    private DutyDriver(
            DutyHolder self,
            LeaseTiming timing,
            SiteId site,
            AsyncKeyValueStore store,
            SiteStateFollower follower,
            RelayClock clock,
            EventLog log) {
        this.machine = DutyStateMachine.create(self, timing);
        this.self = self;
        this.timing = timing;
        this.site = site;
        this.store = store;
        this.follower = follower;
        this.firstEra = FirstEraRecord.create(DutyId.keyPrefix(site) + "firstEra", store, follower, log);
        this.clock = clock;
        this.log = log;
    }

    /**
     * Returns a driver that holds no duty and seeks none.
     *
     * @param self this node
     * @param timing the lease periods
     * @param site the site
     * @param store the store
     * @param follower provides the duty keys
     * @param clock the monotonic and the wall clock
     * @param log records duties that are acquired and lost
     * @return the driver
     */
    public static DutyDriver create(
            DutyHolder self,
            LeaseTiming timing,
            SiteId site,
            AsyncKeyValueStore store,
            SiteStateFollower follower,
            RelayClock clock,
            EventLog log) {
        return new DutyDriver(self, timing, site, store, follower, clock, log);
    }

    /**
     * Advances the state machine.
     *
     * @param requiredDuties the duties that must have a holder
     * @param liveNodes the live nodes, among which the duties are spread
     */
    public void tick(Set<DutyId> requiredDuties, Set<InstanceId> liveNodes) {
        firstEra.refresh();
        apply(new DutyEvent.Tick(requiredDuties, liveNodes));
    }

    /** Gives up all duties, as the store was restored from a copy and may have forgotten the lease. */
    void onStoreRestored() {
        apply(new DutyEvent.StoreRestored());
    }

    /** Stops seeking duties; the next tick revokes the lease, which releases all duties. */
    public void stop() {
        apply(new DutyEvent.StopRequested());
    }

    /**
     * Returns the current authority for a duty.
     *
     * @param duty the duty
     * @return the authority, empty when another node may hold the duty
     */
    public Optional<Authority> authority(DutyId duty) {
        // The monotonic clock stops while the machine is suspended, but the lease runs on, so both clocks are checked.
        boolean expiredByWallClock =
                clock.epochMillis() - lastRenewalSentEpochMillis > timing.ttlMillis() - timing.clockMarginMillis();
        return expiredByWallClock ? Optional.empty() : state.authority(duty, clock.monotonicMillis());
    }

    /**
     * Returns this node as the sender of calls under an authority that it has.
     *
     * @param authority the authority
     * @return the sender, which holds the duty as long as this node has an authority with the same fencing number
     */
    public DutyCaller caller(Authority authority) {
        return new DutyCaller(
                self.instance(),
                authority.fencingNumber(),
                () -> authority(authority.duty())
                        .filter(held -> held.fencingNumber() == authority.fencingNumber())
                        .isPresent());
    }

    /**
     * Returns the holder of a duty as last read from the store.
     *
     * @param duty the duty
     * @return the holder and the fencing number of its authority, empty when none is known
     */
    public Optional<DutyEvent.Entry> holder(DutyId duty) {
        return Optional.ofNullable(follower.nodeValueByKey().get(duty.key(site)))
                .flatMap(this::entry);
    }

    private Optional<DutyEvent.Entry> entry(VersionedValue value) {
        return DutyHolder.fromBytes(value.value())
                .map(holder -> new DutyEvent.Entry(holder, firstEra.fencingNumber(value.createRevision())));
    }

    private void apply(DutyEvent event) {
        DutyStateMachine.Step step = machine.apply(state, event, clock.monotonicMillis());
        state = step.state();
        logChanges();
        step.actions().forEach(this::perform);
    }

    private void logChanges() {
        if (lastLoggedDuties.equals(state.fencingNumberByDuty())) {
            return;
        }
        log.event("duty.held")
                .with("duties", state.fencingNumberByDuty())
                .with("before", lastLoggedDuties)
                .write();
        lastLoggedDuties = state.fencingNumberByDuty();
    }

    /** The time at which a lease call was sent, from which the lease is counted, by both clocks. */
    private record SendTime(long monotonicMillis, long epochMillis) {}

    private void perform(DutyAction action) {
        SendTime sentAt = new SendTime(clock.monotonicMillis(), clock.epochMillis());
        if (action instanceof DutyAction.GrantLease) {
            store.grantLease(timing.ttlMillis(), grant -> onLeaseResponse(grant, LeaseGrant.NONE, sentAt));
        } else if (action instanceof DutyAction.RenewLease renew) {
            store.keepAlive(renew.grant(), grant -> onLeaseResponse(grant, renew.grant(), sentAt));
        } else if (action instanceof DutyAction.ListDuties) {
            listDuties();
        } else if (action instanceof DutyAction.AcquireDuty acquire) {
            acquire(acquire);
        } else if (action instanceof DutyAction.RevokeLease revoke) {
            store.revokeLease(revoke.grant(), done -> apply(new DutyEvent.LeaseRevoked()));
        }
    }

    private void onLeaseResponse(Either<Failure, LeaseGrant> grant, LeaseGrant renewed, SendTime sentAt) {
        if (grant.isRight()) {
            lastRenewalSentEpochMillis = sentAt.epochMillis();
            apply(new DutyEvent.LeaseGranted(grant.get(), sentAt.monotonicMillis()));
        } else {
            // The store rejects the renewal of a lease that has expired.
            boolean expired = grant.getLeft().kind() == Failure.Kind.REJECTED;
            apply(new DutyEvent.LeaseFailed(renewed, expired));
        }
    }

    private void listDuties() {
        if (follower.isStoreUnavailable() || !follower.isReady() || !follower.hasReadCurrentEra()) {
            apply(new DutyEvent.ListFailed());
            return;
        }
        Map<DutyId, DutyEvent.Entry> entries = new HashMap<>();
        for (VersionedValue value : follower.nodeValueByKey().values()) {
            Optional<DutyId> duty = DutyId.fromKey(site, value.key());
            if (duty.isPresent()) {
                entry(value).ifPresent(held -> entries.put(duty.get(), held));
            }
        }
        apply(new DutyEvent.DutiesListed(entries));
    }

    private void acquire(DutyAction.AcquireDuty acquire) {
        if (!firstEra.isKnown()) {
            firstEra.writeIfAbsent();
            apply(new DutyEvent.AcquisitionFailed(acquire.duty()));
            return;
        }
        long leaseId = acquire.grant().leaseId();
        byte[] value = self.withLease(leaseId).toBytes();
        AsyncKeyValueStore.Write write =
                new AsyncKeyValueStore.Write(acquire.duty().key(site), 0, value, acquire.grant(), List.of());
        store.compareAndSwap(write, swap -> onAcquired(acquire.duty(), leaseId, swap));
    }

    private void onAcquired(DutyId duty, long leaseId, Either<Failure, SwapResult> swap) {
        if (swap.isRight() && swap.get().isApplied()) {
            long fencingNumber = firstEra.fencingNumber(swap.get().revision());
            apply(new DutyEvent.DutyAcquired(duty, leaseId, fencingNumber));
        } else {
            apply(new DutyEvent.AcquisitionFailed(duty));
        }
    }
}
