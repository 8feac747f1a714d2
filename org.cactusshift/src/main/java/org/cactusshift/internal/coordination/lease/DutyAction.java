package org.cactusshift.internal.coordination.lease;

import org.cactusshift.internal.coordination.store.LeaseGrant;

/** What a {@link DutyStateMachine} asks its driver to do; each is answered by one {@link DutyEvent}. */
public sealed interface DutyAction {
    /** Ask the store for a lease. */
    record GrantLease() implements DutyAction {}

    /**
     * Renew the lease.
     *
     * @param grant the lease
     */
    record RenewLease(LeaseGrant grant) implements DutyAction {}

    /** Read the duty keys. */
    record ListDuties() implements DutyAction {}

    /**
     * Write the key of a duty that has no holder.
     *
     * @param duty the duty
     * @param grant the lease to attach
     */
    record AcquireDuty(DutyId duty, LeaseGrant grant) implements DutyAction {}

    /**
     * End the lease, which deletes the keys of all duties held.
     *
     * @param grant the lease
     */
    record RevokeLease(LeaseGrant grant) implements DutyAction {}
}
