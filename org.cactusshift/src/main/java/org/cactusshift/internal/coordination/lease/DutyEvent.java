package org.cactusshift.internal.coordination.lease;

import java.util.Map;
import java.util.Set;
import org.cactusshift.id.InstanceId;
import org.cactusshift.internal.coordination.store.LeaseGrant;

/** What happens to a {@link DutyStateMachine}. */
public sealed interface DutyEvent {
    /**
     * Time has passed.
     *
     * @param requiredDuties the duties that the site needs done
     * @param members the members that are live and not leaving
     */
    record Tick(Set<DutyId> requiredDuties, Set<InstanceId> members) implements DutyEvent {
        /** Copies the sets. */
        public Tick {
            requiredDuties = Set.copyOf(requiredDuties);
            members = Set.copyOf(members);
        }
    }

    /**
     * A lease was granted or renewed.
     *
     * @param grant the lease
     * @param sentAtMillis the time just before the call was sent
     */
    record LeaseGranted(LeaseGrant grant, long sentAtMillis) implements DutyEvent {}

    /**
     * The grant or renewal failed or its answer was lost.
     *
     * @param grant the lease that was to be renewed, or {@link LeaseGrant#NONE}
     * @param expired whether the store answered that the lease has ended
     */
    record LeaseFailed(LeaseGrant grant, boolean expired) implements DutyEvent {}

    /**
     * The duty keys were read.
     *
     * @param entries the duties that have a holder
     */
    record DutiesListed(Map<DutyId, Entry> entries) implements DutyEvent {
        /** Copies the map. */
        public DutiesListed {
            entries = Map.copyOf(entries);
        }
    }

    /** The duty keys could not be read. */
    record ListFailed() implements DutyEvent {}

    /**
     * A duty's key was written.
     *
     * @param duty the duty
     * @param leaseId the lease to which the key is attached
     * @param fencingNumber the revision at which the key came into being
     */
    record DutyAcquired(DutyId duty, long leaseId, long fencingNumber) implements DutyEvent {}

    /**
     * A duty's key was not written, or it is not known whether it was.
     *
     * <p>Both are alike: a write that took effect after all shows in the next {@link DutiesListed}.
     *
     * @param duty the duty
     */
    record AcquisitionFailed(DutyId duty) implements DutyEvent {}

    /** The node is shutting down and hands over its duties. */
    record StopRequested() implements DutyEvent {}

    /** The lease was revoked, or is left to end by itself. */
    record LeaseRevoked() implements DutyEvent {}

    /**
     * A duty's key as read.
     *
     * @param holder the holder
     * @param fencingNumber the revision at which the key came into being
     */
    record Entry(DutyHolder holder, long fencingNumber) {}
}
