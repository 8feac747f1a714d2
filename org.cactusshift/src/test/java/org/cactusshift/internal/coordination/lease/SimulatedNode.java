package org.cactusshift.internal.coordination.lease;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cactusshift.errors.Failure;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.internal.coordination.store.KeyValueStore;
import org.cactusshift.internal.coordination.store.LeaseGrant;
import org.cactusshift.internal.coordination.store.RangeResult;
import org.cactusshift.internal.coordination.store.SwapResult;

/** One node of a {@link DutySimulation}. */
public final class SimulatedNode implements AuthoritySource, DutyDirectory {
    private final DutySimulation simulation;
    private final InstanceId instance;
    private final double clockRate;
    private final long clockOffsetMillis;
    private final List<DutyAction> pendingActions = new ArrayList<>();
    private final List<DutyEvent> responses = new ArrayList<>();
    private DutyHolder self;
    private DutyStateMachine machine;
    private DutyState state = DutyState.INITIAL;
    private long pausedUntilMillis;
    private long partitionedUntilMillis;
    private boolean killed;
    private boolean pausedMidStep;
    private Runnable onRestart = () -> {};
    private Runnable onKill = () -> {};

    SimulatedNode(DutySimulation simulation, InstanceId instance, IncarnationId incarnation) {
        this.simulation = simulation;
        this.instance = instance;
        // The clock drifts by at most 8 parts in 1,000, which is within the clock-drift margin of one part in fifty.
        this.clockRate = 1 + (simulation.random().nextInt(17) - 8) / 1_000.0;
        this.clockOffsetMillis = simulation.random().nextInt(1_000_000);
        startIncarnation(incarnation);
    }

    private void startIncarnation(IncarnationId incarnation) {
        self = new DutyHolder(instance, incarnation, "127.0.0.1:1", 0);
        machine = DutyStateMachine.create(self, LeaseTiming.ofTtl(DutySimulation.TTL_MILLIS));
        state = DutyState.INITIAL;
        pendingActions.clear();
        responses.clear();
        killed = false;
        pausedUntilMillis = 0;
    }

    /** Sets the hooks that run when the node is killed and when it restarts. */
    public void setHooks(Runnable kill, Runnable restart) {
        onKill = kill;
        onRestart = restart;
    }

    public InstanceId instance() {
        return instance;
    }

    public DutyHolder self() {
        return self;
    }

    public long clockMillis() {
        return clockOffsetMillis + (long) (simulation.nowMillis() * clockRate);
    }

    /** Returns whether the node does not run now: it is killed or paused. */
    public boolean isDown() {
        return killed || pausedMidStep || simulation.nowMillis() < pausedUntilMillis;
    }

    public boolean isKilled() {
        return killed;
    }

    public boolean isPartitioned() {
        return simulation.nowMillis() < partitionedUntilMillis;
    }

    /** Marks the node as paused in the middle of its step. */
    void setPausedMidStep(boolean pausedMidStep) {
        this.pausedMidStep = pausedMidStep;
    }

    void kill() {
        if (!killed && !pausedMidStep) {
            killed = true;
            onKill.run();
        }
    }

    void restart() {
        if (!pausedMidStep) {
            kill();
            startIncarnation(simulation.nextIncarnation());
            onRestart.run();
        }
    }

    void pauseUntil(long untilMillis) {
        pausedUntilMillis = untilMillis;
    }

    void partitionUntil(long untilMillis) {
        partitionedUntilMillis = untilMillis;
    }

    void heal() {
        pausedUntilMillis = 0;
        partitionedUntilMillis = 0;
        if (killed) {
            restart();
        }
    }

    @Override
    public Optional<Authority> authority(DutyId duty, long nowMillis) {
        return killed ? Optional.empty() : state.authority(duty, nowMillis);
    }

    @Override
    public Optional<DutyHolder> holder(DutyId duty) {
        return Optional.ofNullable(state.holderByDuty().get(duty));
    }

    void run() {
        apply(new DutyEvent.Tick(simulation.duties(), simulation.members()));
        List<DutyAction> due = new ArrayList<>(pendingActions);
        for (DutyAction action : due) {
            if (simulation.isHealed() || simulation.random().nextInt(3) != 0) {
                pendingActions.remove(action);
                call(action);
            }
        }
        List<DutyEvent> arrived = new ArrayList<>(responses);
        for (DutyEvent response : arrived) {
            if (simulation.isHealed() || simulation.random().nextInt(3) != 0) {
                responses.remove(response);
                apply(withExpiryFromResponseIfInjected(response));
            }
        }
    }

    private DutyEvent withExpiryFromResponseIfInjected(DutyEvent response) {
        if (simulation.isExpiryCountedFromResponse() && response instanceof DutyEvent.LeaseGranted lease) {
            return new DutyEvent.LeaseGranted(lease.grant(), clockMillis());
        }
        return response;
    }

    private void apply(DutyEvent event) {
        DutyStateMachine.Step step = machine.apply(state, event, clockMillis());
        state = step.state();
        pendingActions.addAll(step.actions());
    }

    private void call(DutyAction action) {
        KeyValueStore store = simulation.store();
        long sentAtMillis = clockMillis();
        if (action instanceof DutyAction.GrantLease) {
            responses.add(store.grantLease(DutySimulation.TTL_MILLIS)
                    .fold(
                            failure -> new DutyEvent.LeaseFailed(LeaseGrant.NONE, false),
                            grant -> new DutyEvent.LeaseGranted(grant, sentAtMillis)));
        } else if (action instanceof DutyAction.RenewLease renew) {
            responses.add(store.keepAlive(renew.grant())
                    .fold(
                            failure ->
                                    new DutyEvent.LeaseFailed(renew.grant(), failure.kind() == Failure.Kind.REJECTED),
                            grant -> new DutyEvent.LeaseGranted(grant, sentAtMillis)));
        } else if (action instanceof DutyAction.ListDuties) {
            Either<Failure, RangeResult> range = store.list(DutyId.keyPrefix(DutySimulation.SITE));
            responses.add(range.fold(failure -> new DutyEvent.ListFailed(), SimulatedNode::toDutiesListed));
        } else if (action instanceof DutyAction.AcquireDuty acquire) {
            responses.add(acquire(store, acquire));
        }
    }

    private DutyEvent acquire(KeyValueStore store, DutyAction.AcquireDuty action) {
        byte[] value = self.withLease(action.grant().leaseId()).toBytes();
        Either<Failure, SwapResult> swap =
                store.compareAndSwap(action.duty().key(DutySimulation.SITE), 0, value, action.grant());
        boolean acquired = swap.isRight() && swap.get().isApplied();
        return acquired
                ? new DutyEvent.DutyAcquired(
                        action.duty(), action.grant().leaseId(), swap.get().revision())
                : new DutyEvent.AcquisitionFailed(action.duty());
    }

    private static DutyEvent toDutiesListed(RangeResult range) {
        Map<DutyId, DutyEvent.Entry> entries = new HashMap<>();
        range.values()
                .forEach(value -> entries.put(
                        DutyId.fromKey(DutySimulation.SITE, value.key()).orElseThrow(),
                        new DutyEvent.Entry(
                                DutyHolder.fromBytes(value.value()).orElseThrow(), value.createRevision())));
        return new DutyEvent.DutiesListed(entries);
    }

    @Override
    public String toString() {
        return self.incarnation().value();
    }
}
