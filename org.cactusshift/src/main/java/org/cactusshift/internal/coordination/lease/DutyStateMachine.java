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
 * Manages one node's store lease and duties, as a pure function of state, event and time.
 *
 * <p>One store lease covers all duties of the node. It is requested when a duty can be acquired, and is no longer
 * renewed once the node neither holds nor acquires one. A duty's key is attached to the lease; its create revision is
 * the fencing number. The key is written only when it is absent and is deleted only with the lease, so a successful
 * renewal proves that the node still holds all its duties. That is so even when the node, by its own clock and the
 * clock-drift margin, already treated the lease as expired: the store had not, so no other node can have acquired them.
 *
 * <p>A store that was restored from a copy proves nothing of the kind. So the node then gives up its lease and its
 * duties at once, and acquires none for one time to live: by then every lease that the store has forgotten has expired
 * at its holder, whether or not the holder knows of the restore.
 */
public final class DutyStateMachine {
    private final DutyHolder self;
    private final LeaseTiming timing;

    private DutyStateMachine(DutyHolder self, LeaseTiming timing) {
        this.self = self;
        this.timing = timing;
    }

    /**
     * Creates the state machine of a node.
     *
     * @param self the node; its lease id is ignored
     * @param timing the lease periods
     * @return the state machine
     */
    public static DutyStateMachine create(DutyHolder self, LeaseTiming timing) {
        return new DutyStateMachine(Objects.requireNonNull(self, "self"), Objects.requireNonNull(timing, "timing"));
    }

    /**
     * The result of applying an event.
     *
     * @param state the new state
     * @param actions the actions that the caller must run, each of which results in one event
     */
    public record Step(DutyState state, List<DutyAction> actions) {
        /** Copies the list. */
        public Step {
            actions = List.copyOf(actions);
        }
    }

    /**
     * Applies an event.
     *
     * @param state the current state
     * @param event the event
     * @param nowMillis the current monotonic time, in milliseconds
     * @return the new state and the actions to run
     */
    public Step apply(DutyState state, DutyEvent event, long nowMillis) {
        Draft draft = new Draft(state);
        if (event instanceof DutyEvent.Tick tick) {
            onTick(draft, tick, nowMillis);
        } else if (event instanceof DutyEvent.LeaseGranted granted) {
            onLeaseGranted(draft, granted);
        } else if (event instanceof DutyEvent.LeaseFailed failed) {
            onLeaseFailed(draft, failed, nowMillis);
        } else if (event instanceof DutyEvent.DutiesListed listed) {
            onListed(draft, listed, nowMillis);
        } else if (event instanceof DutyEvent.ListFailed) {
            draft.pollPending = false;
            draft.pollAtMillis = nowMillis + timing.retryDelayMillis();
        } else if (event instanceof DutyEvent.DutyAcquired acquired) {
            onDutyAcquired(draft, acquired);
        } else if (event instanceof DutyEvent.AcquisitionFailed failed) {
            draft.dutiesBeingAcquired.remove(failed.duty());
            // The write may have taken effect, or another node holds the duty: the read shows which.
            draft.pollAtMillis = nowMillis;
        } else if (event instanceof DutyEvent.StoreRestored) {
            dropLease(draft);
            draft.acquireNotBeforeMillis = nowMillis + timing.ttlMillis();
        } else if (event instanceof DutyEvent.StopRequested) {
            draft.stopping = true;
        } else if (event instanceof DutyEvent.LeaseRevoked) {
            draft.leaseCallPending = false;
            dropLease(draft);
        }
        return draft.toStep();
    }

    private void onTick(Draft draft, DutyEvent.Tick tick, long nowMillis) {
        if (draft.stopping) {
            revokeWhenIdle(draft);
            return;
        }
        draft.requiredDuties = tick.requiredDuties();
        draft.vacantSinceMillisByDuty.keySet().retainAll(tick.requiredDuties());
        pollWhenDue(draft, nowMillis);
        Set<DutyId> toAcquire = dutiesToAcquire(draft, tick, nowMillis);
        maintainLease(draft, !toAcquire.isEmpty(), nowMillis);
        if (!draft.hasLease() || nowMillis >= draft.expiresAtMillis) {
            return;
        }
        for (DutyId duty : toAcquire) {
            draft.dutiesBeingAcquired.add(duty);
            draft.actions.add(new DutyAction.AcquireDuty(duty, draft.grant));
        }
    }

    private void revokeWhenIdle(Draft draft) {
        // No need to wait for a key that is being written: after the revocation the write fails, because its lease no
        // longer exists.
        if (draft.hasLease() && !draft.leaseCallPending) {
            draft.leaseCallPending = true;
            draft.actions.add(new DutyAction.RevokeLease(draft.grant));
        }
    }

    private void pollWhenDue(Draft draft, long nowMillis) {
        if (!draft.pollPending && nowMillis >= draft.pollAtMillis) {
            draft.pollPending = true;
            draft.actions.add(new DutyAction.ListDuties());
        }
    }

    private Set<DutyId> dutiesToAcquire(Draft draft, DutyEvent.Tick tick, long nowMillis) {
        Set<DutyId> toAcquire = new TreeSet<>();
        if (nowMillis < draft.acquireNotBeforeMillis) {
            return toAcquire;
        }
        for (Map.Entry<DutyId, Long> vacant : draft.vacantSinceMillisByDuty.entrySet()) {
            DutyId duty = vacant.getKey();
            if (draft.dutiesBeingAcquired.contains(duty) || draft.fencingNumberByDuty.containsKey(duty)) {
                continue;
            }
            long rank = RendezvousHash.rank(duty, self.instance(), tick.liveNodes());
            if (nowMillis >= vacant.getValue() + rank * timing.delayPerRankMillis()) {
                toAcquire.add(duty);
            }
        }
        return toAcquire;
    }

    private void maintainLease(Draft draft, boolean hasDutiesToAcquire, long nowMillis) {
        if (draft.leaseCallPending || nowMillis < draft.renewAtMillis) {
            return;
        }
        if (!draft.hasLease()) {
            if (hasDutiesToAcquire) {
                draft.leaseCallPending = true;
                draft.actions.add(new DutyAction.GrantLease());
            }
            return;
        }
        boolean isLeaseNeeded =
                hasDutiesToAcquire || !draft.fencingNumberByDuty.isEmpty() || !draft.dutiesBeingAcquired.isEmpty();
        if (isLeaseNeeded) {
            draft.leaseCallPending = true;
            draft.actions.add(new DutyAction.RenewLease(draft.grant));
        } else if (nowMillis >= draft.expiresAtMillis) {
            dropLease(draft);
        }
    }

    /** Applies the response to a grant or a renewal. */
    private void onLeaseGranted(Draft draft, DutyEvent.LeaseGranted granted) {
        draft.leaseCallPending = false;
        if (draft.hasLease() && draft.grant.leaseId() != granted.grant().leaseId()) {
            // A late response for another lease, which is left to expire.
            return;
        }
        long expiresAtMillis = granted.sentAtMillis() + granted.grant().ttlMillis() - timing.clockMarginMillis();
        draft.grant = granted.grant();
        draft.expiresAtMillis = Math.max(draft.expiresAtMillis, expiresAtMillis);
        draft.renewAtMillis = granted.sentAtMillis() + timing.renewalPeriodMillis();
    }

    private void onLeaseFailed(Draft draft, DutyEvent.LeaseFailed failed, long nowMillis) {
        draft.leaseCallPending = false;
        draft.renewAtMillis = nowMillis + timing.retryDelayMillis();
        if (failed.expired() && failed.grant().leaseId() == draft.grant.leaseId()) {
            dropLease(draft);
        }
    }

    private void dropLease(Draft draft) {
        draft.grant = LeaseGrant.NONE;
        draft.expiresAtMillis = Long.MIN_VALUE;
        draft.fencingNumberByDuty.clear();
        // The keys may remain until the store expires the lease; the next read shows which duties are vacant.
        draft.vacantSinceMillisByDuty.clear();
        draft.pollAtMillis = Long.MIN_VALUE;
    }

    private void onListed(Draft draft, DutyEvent.DutiesListed listed, long nowMillis) {
        draft.pollPending = false;
        draft.pollAtMillis = nowMillis + timing.pollPeriodMillis();
        draft.holderByDuty.clear();
        listed.entries().forEach((duty, entry) -> {
            draft.holderByDuty.put(duty, entry.holder());
            updateHeldDuty(draft, duty, entry);
        });
        draft.vacantSinceMillisByDuty.keySet().removeAll(listed.entries().keySet());
        for (DutyId duty : draft.requiredDuties) {
            if (!listed.entries().containsKey(duty)) {
                draft.vacantSinceMillisByDuty.putIfAbsent(duty, nowMillis);
            }
        }
    }

    private void updateHeldDuty(Draft draft, DutyId duty, DutyEvent.Entry entry) {
        boolean isOwnKey = draft.hasLease()
                && entry.holder().incarnation().equals(self.incarnation())
                && entry.holder().leaseId() == draft.grant.leaseId();
        if (isOwnKey) {
            // The key was written by this node, possibly with a lost response.
            draft.fencingNumberByDuty.put(duty, entry.fencingNumber());
        } else if (draft.fencingNumberByDuty.getOrDefault(duty, Long.MAX_VALUE) < entry.fencingNumber()) {
            // The duty was acquired later under another lease, so this node no longer holds it.
            draft.fencingNumberByDuty.remove(duty);
        }
    }

    private void onDutyAcquired(Draft draft, DutyEvent.DutyAcquired acquired) {
        draft.dutiesBeingAcquired.remove(acquired.duty());
        if (!draft.hasLease() || acquired.leaseId() != draft.grant.leaseId()) {
            return;
        }
        draft.fencingNumberByDuty.put(acquired.duty(), acquired.fencingNumber());
        draft.vacantSinceMillisByDuty.remove(acquired.duty());
        draft.holderByDuty.put(acquired.duty(), self.withLease(acquired.leaseId()));
    }

    /** A mutable copy of the state while an event is applied. */
    private static final class Draft {
        private LeaseGrant grant;
        private long expiresAtMillis;
        private long renewAtMillis;
        private boolean leaseCallPending;
        private long pollAtMillis;
        private boolean pollPending;
        private Set<DutyId> requiredDuties;
        private final Map<DutyId, Long> fencingNumberByDuty;
        private final Map<DutyId, Long> vacantSinceMillisByDuty;
        private final Set<DutyId> dutiesBeingAcquired;
        private final Map<DutyId, DutyHolder> holderByDuty;
        private long acquireNotBeforeMillis;
        private boolean stopping;
        private final List<DutyAction> actions = new ArrayList<>();

        Draft(DutyState state) {
            grant = state.grant();
            expiresAtMillis = state.expiresAtMillis();
            renewAtMillis = state.renewAtMillis();
            leaseCallPending = state.leaseCallPending();
            pollAtMillis = state.pollAtMillis();
            pollPending = state.pollPending();
            requiredDuties = state.requiredDuties();
            fencingNumberByDuty = new HashMap<>(state.fencingNumberByDuty());
            vacantSinceMillisByDuty = new HashMap<>(state.vacantSinceMillisByDuty());
            dutiesBeingAcquired = new HashSet<>(state.dutiesBeingAcquired());
            holderByDuty = new HashMap<>(state.holderByDuty());
            acquireNotBeforeMillis = state.acquireNotBeforeMillis();
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
                    leaseCallPending,
                    pollAtMillis,
                    pollPending,
                    requiredDuties,
                    fencingNumberByDuty,
                    vacantSinceMillisByDuty,
                    dutiesBeingAcquired,
                    holderByDuty,
                    acquireNotBeforeMillis,
                    stopping);
            return new Step(state, actions);
        }
    }
}
