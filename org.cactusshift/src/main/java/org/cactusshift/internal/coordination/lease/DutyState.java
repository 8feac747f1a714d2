package org.cactusshift.internal.coordination.lease;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cactusshift.internal.coordination.store.LeaseGrant;

/**
 * The state of a {@link DutyStateMachine}.
 *
 * @param grant the platform lease, or {@link LeaseGrant#NONE}
 * @param expiresAtMillis when the lease may end at the earliest, on the holder's monotonic clock
 * @param renewAtMillis when the next grant or renewal is due
 * @param leaseCallPending whether a grant, renewal or revocation is under way
 * @param pollAtMillis when the next read of the duty keys is due
 * @param pollPending whether a read of the duty keys is under way
 * @param requiredDuties the duties that the site needs done
 * @param fencingNumberByDuty the duties held, with their fencing numbers
 * @param vacantSinceMillisByDuty since when a sought duty was seen without holder
 * @param acquiring the duties whose keys are being written
 * @param holderByDuty the holders as last read
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
        Set<DutyId> acquiring,
        Map<DutyId, DutyHolder> holderByDuty,
        boolean stopping) {
    /** The state of a node that has just started. */
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
            false);

    /** Copies the collections. */
    public DutyState {
        requiredDuties = Set.copyOf(requiredDuties);
        fencingNumberByDuty = Map.copyOf(fencingNumberByDuty);
        vacantSinceMillisByDuty = Map.copyOf(vacantSinceMillisByDuty);
        acquiring = Set.copyOf(acquiring);
        holderByDuty = Map.copyOf(holderByDuty);
    }

    /**
     * Returns the authority for a duty.
     *
     * @param duty the duty
     * @param nowMillis the present time, monotonic
     * @return the authority, empty when the duty is not held or its lease may have ended
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
