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
    private final List<DutyAction> waiting = new ArrayList<>();
    private final List<DutyEvent> answers = new ArrayList<>();
    private DutyHolder self;
    private DutyStateMachine machine;
    private DutyState state = DutyState.INITIAL;
    private long pausedUntilMillis;
    private long cutUntilMillis;
    private boolean killed;
    private boolean running;
    private Runnable onRestart = () -> {};
    private Runnable onKill = () -> {};

    SimulatedNode(DutySimulation simulation, InstanceId instance, IncarnationId incarnation) {
        this.simulation = simulation;
        this.instance = instance;
        // Within the margin of a fiftieth.
        this.clockRate = 1 + (simulation.random().nextInt(17) - 8) / 1_000.0;
        this.clockOffsetMillis = simulation.random().nextInt(1_000_000);
        begin(incarnation);
    }

    private void begin(IncarnationId incarnation) {
        self = new DutyHolder(instance, incarnation, "127.0.0.1:1", 0);
        machine = DutyStateMachine.create(self, LeaseTiming.ofTtl(DutySimulation.TTL_MILLIS));
        state = DutyState.INITIAL;
        waiting.clear();
        answers.clear();
        killed = false;
        pausedUntilMillis = 0;
    }

    /** Sets what runs when the node is killed and when it starts again. */
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

    public boolean isDown() {
        return killed || running || simulation.nowMillis() < pausedUntilMillis;
    }

    public boolean isKilled() {
        return killed;
    }

    public boolean isPartitioned() {
        return simulation.nowMillis() < cutUntilMillis;
    }

    /** Marks the node as stopped in the middle of its work. */
    void setRunning(boolean running) {
        this.running = running;
    }

    void kill() {
        if (!killed && !running) {
            killed = true;
            onKill.run();
        }
    }

    void restart() {
        if (!running) {
            kill();
            begin(simulation.nextIncarnation());
            onRestart.run();
        }
    }

    void pauseUntil(long untilMillis) {
        pausedUntilMillis = untilMillis;
    }

    void cutUntil(long untilMillis) {
        cutUntilMillis = untilMillis;
    }

    void heal() {
        pausedUntilMillis = 0;
        cutUntilMillis = 0;
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
        List<DutyAction> due = new ArrayList<>(waiting);
        for (DutyAction action : due) {
            if (simulation.isHealed() || simulation.random().nextInt(3) != 0) {
                waiting.remove(action);
                call(action);
            }
        }
        List<DutyEvent> arrived = new ArrayList<>(answers);
        for (DutyEvent answer : arrived) {
            if (simulation.isHealed() || simulation.random().nextInt(3) != 0) {
                answers.remove(answer);
                apply(seenAtArrival(answer));
            }
        }
    }

    private DutyEvent seenAtArrival(DutyEvent answer) {
        if (simulation.countsFromAnswer() && answer instanceof DutyEvent.LeaseGranted lease) {
            return new DutyEvent.LeaseGranted(lease.grant(), clockMillis());
        }
        return answer;
    }

    private void apply(DutyEvent event) {
        DutyStateMachine.Step step = machine.apply(state, event, clockMillis());
        state = step.state();
        waiting.addAll(step.actions());
    }

    private void call(DutyAction action) {
        KeyValueStore store = simulation.store();
        long sentAtMillis = clockMillis();
        if (action instanceof DutyAction.GrantLease) {
            answers.add(store.grantLease(DutySimulation.TTL_MILLIS)
                    .fold(
                            failure -> new DutyEvent.LeaseFailed(LeaseGrant.NONE, false),
                            grant -> new DutyEvent.LeaseGranted(grant, sentAtMillis)));
        } else if (action instanceof DutyAction.RenewLease renew) {
            answers.add(store.keepAlive(renew.grant())
                    .fold(
                            failure ->
                                    new DutyEvent.LeaseFailed(renew.grant(), failure.kind() == Failure.Kind.REJECTED),
                            grant -> new DutyEvent.LeaseGranted(grant, sentAtMillis)));
        } else if (action instanceof DutyAction.ListDuties) {
            Either<Failure, RangeResult> range = store.list(DutyId.keyPrefix(DutySimulation.SITE));
            answers.add(range.fold(failure -> new DutyEvent.ListFailed(), SimulatedNode::listed));
        } else if (action instanceof DutyAction.AcquireDuty take) {
            answers.add(take(store, take));
        }
    }

    private DutyEvent take(KeyValueStore store, DutyAction.AcquireDuty take) {
        byte[] value = self.withLease(take.grant().leaseId()).toBytes();
        Either<Failure, SwapResult> swap =
                store.compareAndSwap(take.duty().key(DutySimulation.SITE), 0, value, take.grant());
        boolean taken = swap.isRight() && swap.get().isApplied();
        return taken
                ? new DutyEvent.DutyAcquired(
                        take.duty(), take.grant().leaseId(), swap.get().revision())
                : new DutyEvent.AcquisitionFailed(take.duty());
    }

    private static DutyEvent listed(RangeResult range) {
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
