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
 * Drives a {@link DutyStateMachine} on the event loop. The duty keys are read from what the {@link SiteStateFollower}
 * follows anyway.
 */
public final class DutyDriver {
    private final DutyStateMachine machine;
    private final DutyHolder self;
    private final LeaseTiming timing;
    private final SiteId site;
    private final AsyncKeyValueStore store;
    private final SiteStateFollower follower;
    private final RelayClock clock;
    private final EventLog log;
    private DutyState state = DutyState.INITIAL;
    private long renewedUnixMillis;
    private Map<DutyId, Long> heldBefore = Map.of();

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
        this.clock = clock;
        this.log = log;
    }

    /**
     * Returns a runner that seeks nothing yet.
     *
     * @param self this node
     * @param timing the periods
     * @param site the site
     * @param store the store
     * @param follower follows the duty keys
     * @param clock the clocks
     * @param log takes what is won and lost
     * @return the runner
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
     * Lets time pass.
     *
     * @param sought the duties to be done
     * @param members the live nodes
     */
    public void tick(Set<DutyId> sought, Set<InstanceId> members) {
        apply(new DutyEvent.Tick(sought, members));
    }

    /** Gives up all duties. */
    public void stop() {
        apply(new DutyEvent.StopRequested());
    }

    /**
     * Returns the authority for a duty at this moment.
     *
     * @param duty the duty
     * @return the authority, empty when another node may hold the duty
     */
    public Optional<Authority> authority(DutyId duty) {
        // The steady clock stands still while a machine is suspended and the lease does not, so both clocks must agree.
        boolean suspended = clock.epochMillis() - renewedUnixMillis > timing.ttlMillis() - timing.clockMarginMillis();
        return suspended ? Optional.empty() : state.authority(duty, clock.monotonicMillis());
    }

    /**
     * Returns the holder of a duty as the store last told it.
     *
     * @param duty the duty
     * @return the holder and the fencing number of its authority
     */
    public Optional<DutyEvent.Entry> holder(DutyId duty) {
        return Optional.ofNullable(follower.ownKeys().get(duty.key(site))).flatMap(DutyDriver::entry);
    }

    private static Optional<DutyEvent.Entry> entry(VersionedValue value) {
        return DutyHolder.fromBytes(value.value()).map(holder -> new DutyEvent.Entry(holder, value.createRevision()));
    }

    private void apply(DutyEvent event) {
        DutyStateMachine.Step step = machine.apply(state, event, clock.monotonicMillis());
        state = step.state();
        noteChanges();
        step.actions().forEach(this::perform);
    }

    private void noteChanges() {
        if (heldBefore.equals(state.fencingNumberByDuty())) {
            return;
        }
        log.event("duty.held")
                .with("duties", state.fencingNumberByDuty())
                .with("before", heldBefore)
                .write();
        heldBefore = state.fencingNumberByDuty();
    }

    private record SentAt(long steadyMillis, long unixMillis) {}

    private void perform(DutyAction action) {
        SentAt sentAt = new SentAt(clock.monotonicMillis(), clock.epochMillis());
        if (action instanceof DutyAction.GrantLease) {
            store.grantLease(timing.ttlMillis(), grant -> onLease(grant, LeaseGrant.NONE, sentAt));
        } else if (action instanceof DutyAction.RenewLease renew) {
            store.keepAlive(renew.grant(), grant -> onLease(grant, renew.grant(), sentAt));
        } else if (action instanceof DutyAction.ListDuties) {
            listDuties();
        } else if (action instanceof DutyAction.AcquireDuty take) {
            take(take);
        } else if (action instanceof DutyAction.RevokeLease revoke) {
            store.revokeLease(revoke.grant(), done -> apply(new DutyEvent.LeaseRevoked()));
        }
    }

    private void onLease(Either<Failure, LeaseGrant> grant, LeaseGrant renewed, SentAt sentAt) {
        if (grant.isRight()) {
            renewedUnixMillis = sentAt.unixMillis();
            apply(new DutyEvent.LeaseGranted(grant.get(), sentAt.steadyMillis()));
        } else {
            boolean ended = grant.getLeft().kind() == Failure.Kind.REJECTED;
            apply(new DutyEvent.LeaseFailed(renewed, ended));
        }
    }

    private void listDuties() {
        if (follower.isStoreAway() || !follower.isReady()) {
            apply(new DutyEvent.ListFailed());
            return;
        }
        Map<DutyId, DutyEvent.Entry> entries = new HashMap<>();
        for (VersionedValue value : follower.ownKeys().values()) {
            Optional<DutyId> duty = DutyId.fromKey(site, value.key());
            if (duty.isPresent()) {
                entry(value).ifPresent(held -> entries.put(duty.get(), held));
            }
        }
        apply(new DutyEvent.DutiesListed(entries));
    }

    private void take(DutyAction.AcquireDuty take) {
        long leaseId = take.grant().leaseId();
        byte[] value = self.withLease(leaseId).toBytes();
        AsyncKeyValueStore.Write write =
                new AsyncKeyValueStore.Write(take.duty().key(site), 0, value, take.grant(), List.of());
        store.compareAndSwap(write, swap -> onTaken(take.duty(), leaseId, swap));
    }

    private void onTaken(DutyId duty, long leaseId, Either<Failure, SwapResult> swap) {
        if (swap.isRight() && swap.get().isApplied()) {
            apply(new DutyEvent.DutyAcquired(duty, leaseId, swap.get().revision()));
        } else {
            apply(new DutyEvent.AcquisitionFailed(duty));
        }
    }
}
