package org.cactusshift.internal.coordination.lease;

import org.cactusshift.internal.coordination.store.LeaseGrant;

/** An action that a {@link DutyStateMachine} asks its driver to run; each results in one {@link DutyEvent}. */
public sealed interface DutyAction {
    /** Request a lease from the store. */
    record GrantLease() implements DutyAction {}

    /**
     * Renew the lease.
     *
     * @param grant the lease
     */
    record RenewLease(LeaseGrant grant) implements DutyAction {}

    /** Read all duty keys of the site. */
    record ListDuties() implements DutyAction {}

    /**
     * Acquire a vacant duty by writing its key, which must be absent.
     *
     * @param duty the duty
     * @param grant the lease to attach to the key
     */
    record AcquireDuty(DutyId duty, LeaseGrant grant) implements DutyAction {}

    /**
     * Revoke the lease, which deletes the keys of all duties held.
     *
     * @param grant the lease
     */
    record RevokeLease(LeaseGrant grant) implements DutyAction {}
}
