package org.cactusshift.internal.coordination.lease;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cactusshift.internal.coordination.store.LeaseGrant;

/**
 * The state of a {@link DutyStateMachine}.
 *
 * @param grant the store lease, or {@link LeaseGrant#NONE}
 * @param expiresAtMillis the earliest time at which the lease may expire, on the holder's monotonic clock, as all times
 *     here; {@link Long#MIN_VALUE} without a lease
 * @param renewAtMillis when the next grant or renewal is due; {@link Long#MIN_VALUE} for at once
 * @param leaseCallPending whether a grant, renewal or revocation is pending
 * @param pollAtMillis when the next read of the duty keys is due; {@link Long#MIN_VALUE} for at once
 * @param pollPending whether a read of the duty keys is pending
 * @param requiredDuties the duties that must have a holder
 * @param fencingNumberByDuty the fencing numbers of the duties held
 * @param vacantSinceMillisByDuty when each vacant required duty was first read as vacant
 * @param dutiesBeingAcquired the duties whose keys are being written by this node
 * @param holderByDuty the holders of the duties as last read
 * @param acquireNotBeforeMillis the earliest time at which a duty may be acquired; {@link Long#MIN_VALUE} for at once
 * @param stopping whether the node is shutting down
 */
public record DutyState(
        LeaseGrant grant,
        long expiresAtMillis,
        long renewAtMillis,
        boolean leaseCallPending,
        long pollAtMillis,
        boolean pollPending,
        Set<DutyId> requiredDuties,
        Map<DutyId, Long> fencingNumberByDuty,
        Map<DutyId, Long> vacantSinceMillisByDuty,
        Set<DutyId> dutiesBeingAcquired,
        Map<DutyId, DutyHolder> holderByDuty,
        long acquireNotBeforeMillis,
        boolean stopping) {
    /** The state of a node that has just started: no lease, all calls due at once. */
    public static final DutyState INITIAL = new DutyState(
            LeaseGrant.NONE,
            Long.MIN_VALUE,
            Long.MIN_VALUE,
            false,
            Long.MIN_VALUE,
            false,
            Set.of(),
            Map.of(),
            Map.of(),
            Set.of(),
            Map.of(),
            Long.MIN_VALUE,
            false);

    /** Copies the collections. */
    public DutyState {
        requiredDuties = Set.copyOf(requiredDuties);
        fencingNumberByDuty = Map.copyOf(fencingNumberByDuty);
        vacantSinceMillisByDuty = Map.copyOf(vacantSinceMillisByDuty);
        dutiesBeingAcquired = Set.copyOf(dutiesBeingAcquired);
        holderByDuty = Map.copyOf(holderByDuty);
    }

    /**
     * Returns the authority for a duty.
     *
     * @param duty the duty
     * @param nowMillis the current monotonic time, in milliseconds
     * @return the authority; empty when the duty is not held or its lease may have expired
     */
    public Optional<Authority> authority(DutyId duty, long nowMillis) {
        Long fencingNumber = fencingNumberByDuty.get(duty);
        if (fencingNumber == null || stopping) {
            return Optional.empty();
        }
        Authority authority = new Authority(duty, fencingNumber, expiresAtMillis);
        return authority.isValid(nowMillis) ? Optional.of(authority) : Optional.empty();
    }
}
