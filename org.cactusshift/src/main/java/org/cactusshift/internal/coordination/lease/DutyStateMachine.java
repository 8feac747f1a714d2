package org.cactusshift.internal.coordination.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import org.cactusshift.internal.coordination.store.LeaseGrant;

/**
 * Decides about one node's platform lease and duties, as a pure function of state, event and time.
 *
 * <p>One platform lease serves all duties of the node, and exists only while the node holds or takes one. A duty's key
 * is attached to the lease; its creation revision is the fencing number. The key is written only where it is absent
 * and vanishes only with the lease, so that a renewal which succeeds proves that every duty held is held still, even
 * after the holder had to count it as lapsed.
 */
public final class DutyStateMachine {
    private final DutyHolder self;
    private final LeaseTiming timing;

    private DutyStateMachine(DutyHolder self, LeaseTiming timing) {
        this.self = self;
        this.timing = timing;
    }

    /**
     * Returns the machine of a node.
     *
     * @param self the node; its lease id is ignored
     * @param timing the periods
     * @return the machine
     */
    public static DutyStateMachine create(DutyHolder self, LeaseTiming timing) {
        return new DutyStateMachine(Objects.requireNonNull(self, "self"), Objects.requireNonNull(timing, "timing"));
    }

    /**
     * The result of an event.
     *
     * @param state the new state
     * @param actions what the driver has to do
     */
    public record Step(DutyState state, List<DutyAction> actions) {
        /** Copies the list. */
        public Step {
            actions = List.copyOf(actions);
        }
    }

    /**
     * Takes an event.
     *
     * @param state the present state
     * @param event the event
     * @param nowMillis the present time, monotonic
     * @return the new state and what is to be done
     */
    public Step apply(DutyState state, DutyEvent event, long nowMillis) {
        Draft draft = new Draft(state);
        if (event instanceof DutyEvent.Tick tick) {
            onTick(draft, tick, nowMillis);
        } else if (event instanceof DutyEvent.LeaseGranted answered) {
            onLeaseAnswered(draft, answered);
        } else if (event instanceof DutyEvent.LeaseFailed failed) {
            onLeaseFailed(draft, failed, nowMillis);
        } else if (event instanceof DutyEvent.DutiesListed listed) {
            onListed(draft, listed, nowMillis);
        } else if (event instanceof DutyEvent.ListFailed) {
            draft.pollOpen = false;
            draft.pollAtMillis = nowMillis + timing.retryDelayMillis();
        } else if (event instanceof DutyEvent.DutyAcquired taken) {
            onTaken(draft, taken);
        } else if (event instanceof DutyEvent.AcquisitionFailed failed) {
            draft.taking.remove(failed.duty());
            draft.pollAtMillis = nowMillis;
        } else if (event instanceof DutyEvent.StopRequested) {
            draft.stopping = true;
        } else if (event instanceof DutyEvent.LeaseRevoked) {
            draft.leaseCallOpen = false;
            dropLease(draft);
        }
        return draft.toStep();
    }

    private void onTick(Draft draft, DutyEvent.Tick tick, long nowMillis) {
        if (draft.stopping) {
            revokeWhenIdle(draft);
            return;
        }
        draft.sought = tick.requiredDuties();
        draft.absentSinceMillis.keySet().retainAll(tick.requiredDuties());
        pollWhenDue(draft, nowMillis);
        Set<DutyId> due = dueDuties(draft, tick, nowMillis);
        keepLease(draft, !due.isEmpty(), nowMillis);
        if (!draft.hasLease() || nowMillis >= draft.expiresAtMillis) {
            return;
        }
        for (DutyId duty : due) {
            draft.taking.add(duty);
            draft.actions.add(new DutyAction.AcquireDuty(duty, draft.grant));
        }
    }

    private void revokeWhenIdle(Draft draft) {
        // A key that is being written now would be left behind by the revocation only until the write fails for want
        // of the lease, so there is no need to wait for it.
        if (draft.hasLease() && !draft.leaseCallOpen) {
            draft.leaseCallOpen = true;
            draft.actions.add(new DutyAction.RevokeLease(draft.grant));
        }
    }

    private void pollWhenDue(Draft draft, long nowMillis) {
        if (!draft.pollOpen && nowMillis >= draft.pollAtMillis) {
            draft.pollOpen = true;
            draft.actions.add(new DutyAction.ListDuties());
        }
    }

    private Set<DutyId> dueDuties(Draft draft, DutyEvent.Tick tick, long nowMillis) {
        Set<DutyId> due = new TreeSet<>();
        for (Map.Entry<DutyId, Long> absent : draft.absentSinceMillis.entrySet()) {
            DutyId duty = absent.getKey();
            if (draft.taking.contains(duty) || draft.held.containsKey(duty)) {
                continue;
            }
            long rank = RendezvousHash.rank(duty, self.instance(), tick.members());
            if (nowMillis >= absent.getValue() + rank * timing.delayPerRankMillis()) {
                due.add(duty);
            }
        }
        return due;
    }

    private void keepLease(Draft draft, boolean wanted, long nowMillis) {
        if (draft.leaseCallOpen || nowMillis < draft.renewAtMillis) {
            return;
        }
        if (!draft.hasLease()) {
            if (wanted) {
                draft.leaseCallOpen = true;
                draft.actions.add(new DutyAction.GrantLease());
            }
            return;
        }
        boolean used = wanted || !draft.held.isEmpty() || !draft.taking.isEmpty();
        if (used) {
            draft.leaseCallOpen = true;
            draft.actions.add(new DutyAction.RenewLease(draft.grant));
        } else if (nowMillis >= draft.expiresAtMillis) {
            dropLease(draft);
        }
    }

    private void onLeaseAnswered(Draft draft, DutyEvent.LeaseGranted answered) {
        draft.leaseCallOpen = false;
        if (draft.hasLease() && draft.grant.leaseId() != answered.grant().leaseId()) {
            return;
        }
        long expiresAtMillis = answered.sentAtMillis() + answered.grant().ttlMillis() - timing.clockMarginMillis();
        draft.grant = answered.grant();
        draft.expiresAtMillis = Math.max(draft.expiresAtMillis, expiresAtMillis);
        draft.renewAtMillis = answered.sentAtMillis() + timing.renewalPeriodMillis();
    }

    private void onLeaseFailed(Draft draft, DutyEvent.LeaseFailed failed, long nowMillis) {
        draft.leaseCallOpen = false;
        draft.renewAtMillis = nowMillis + timing.retryDelayMillis();
        if (failed.expired() && failed.grant().leaseId() == draft.grant.leaseId()) {
            dropLease(draft);
        }
    }

    private void dropLease(Draft draft) {
        draft.grant = LeaseGrant.NONE;
        draft.expiresAtMillis = Long.MIN_VALUE;
        draft.held.clear();
        // The keys may linger until the store notices; the next read tells.
        draft.absentSinceMillis.clear();
        draft.pollAtMillis = Long.MIN_VALUE;
    }

    private void onListed(Draft draft, DutyEvent.DutiesListed listed, long nowMillis) {
        draft.pollOpen = false;
        draft.pollAtMillis = nowMillis + timing.pollPeriodMillis();
        draft.directory.clear();
        listed.entries().forEach((duty, entry) -> {
            draft.directory.put(duty, entry.holder());
            compareWithHeld(draft, duty, entry);
        });
        draft.absentSinceMillis.keySet().removeAll(listed.entries().keySet());
        for (DutyId duty : draft.sought) {
            if (!listed.entries().containsKey(duty)) {
                draft.absentSinceMillis.putIfAbsent(duty, nowMillis);
            }
        }
    }

    private void compareWithHeld(Draft draft, DutyId duty, DutyEvent.Entry entry) {
        boolean own = draft.hasLease()
                && entry.holder().incarnation().equals(self.incarnation())
                && entry.holder().leaseId() == draft.grant.leaseId();
        if (own) {
            // A write of ours whose answer was lost.
            draft.held.put(duty, entry.fencingNumber());
        } else if (draft.held.getOrDefault(duty, Long.MAX_VALUE) < entry.fencingNumber()) {
            draft.held.remove(duty);
        }
    }

    private void onTaken(Draft draft, DutyEvent.DutyAcquired taken) {
        draft.taking.remove(taken.duty());
        if (!draft.hasLease() || taken.leaseId() != draft.grant.leaseId()) {
            return;
        }
        draft.held.put(taken.duty(), taken.fencingNumber());
        draft.absentSinceMillis.remove(taken.duty());
        draft.directory.put(taken.duty(), self.withLease(taken.leaseId()));
    }

    /** A state under change. */
    private static final class Draft {
        private LeaseGrant grant;
        private long expiresAtMillis;
        private long renewAtMillis;
        private boolean leaseCallOpen;
        private long pollAtMillis;
        private boolean pollOpen;
        private Set<DutyId> sought;
        private final Map<DutyId, Long> held;
        private final Map<DutyId, Long> absentSinceMillis;
        private final Set<DutyId> taking;
        private final Map<DutyId, DutyHolder> directory;
        private boolean stopping;
        private final List<DutyAction> actions = new ArrayList<>();

        Draft(DutyState state) {
            grant = state.grant();
            expiresAtMillis = state.expiresAtMillis();
            renewAtMillis = state.renewAtMillis();
            leaseCallOpen = state.leaseCallPending();
            pollAtMillis = state.pollAtMillis();
            pollOpen = state.pollPending();
            sought = state.requiredDuties();
            held = new HashMap<>(state.fencingNumberByDuty());
            absentSinceMillis = new HashMap<>(state.vacantSinceMillisByDuty());
            taking = new HashSet<>(state.acquiring());
            directory = new HashMap<>(state.holderByDuty());
            stopping = state.stopping();
        }

        boolean hasLease() {
            return !grant.equals(LeaseGrant.NONE);
        }

        Step toStep() {
            DutyState state = new DutyState(
                    grant,
                    expiresAtMillis,
                    renewAtMillis,
                    leaseCallOpen,
                    pollAtMillis,
                    pollOpen,
                    sought,
                    held,
                    absentSinceMillis,
                    taking,
                    directory,
                    stopping);
            return new Step(state, actions);
        }
    }
}
