package org.cactusshift.internal.coordination.lease;

import java.util.Map;
import java.util.Set;
import org.cactusshift.id.InstanceId;
import org.cactusshift.internal.coordination.store.LeaseGrant;

/** An input event of a {@link DutyStateMachine}. */
public sealed interface DutyEvent {
    /**
     * The periodic tick of the driver.
     *
     * @param requiredDuties the duties that must have a holder
     * @param liveNodes the live nodes that are not leaving, with or without this node
     */
    record Tick(Set<DutyId> requiredDuties, Set<InstanceId> liveNodes) implements DutyEvent {
        /** Copies the sets. */
        public Tick {
            requiredDuties = Set.copyOf(requiredDuties);
            liveNodes = Set.copyOf(liveNodes);
        }
    }

    /**
     * A lease was granted or renewed.
     *
     * @param grant the lease
     * @param sentAtMillis the monotonic time just before the call was sent
     */
    record LeaseGranted(LeaseGrant grant, long sentAtMillis) implements DutyEvent {}

    /**
     * A grant or renewal failed, or its response was lost.
     *
     * @param grant the lease that was to be renewed, or {@link LeaseGrant#NONE}
     * @param expired whether the store responded that the lease no longer exists
     */
    record LeaseFailed(LeaseGrant grant, boolean expired) implements DutyEvent {}

    /**
     * The duty keys were read.
     *
     * @param entries the duties that have a holder, with their keys' contents
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
     * @param fencingNumber the create revision of the key
     */
    record DutyAcquired(DutyId duty, long leaseId, long fencingNumber) implements DutyEvent {}

    /**
     * A duty's key was not written, or the outcome of the write is unknown.
     *
     * <p>Both cases are handled alike: a write that did take effect appears in the next {@link DutiesListed}.
     *
     * @param duty the duty
     */
    record AcquisitionFailed(DutyId duty) implements DutyEvent {}

    /** The store was restored from a copy: leases and duties that it granted since then are lost. */
    record StoreRestored() implements DutyEvent {}

    /** The node is shutting down and gives up its duties. */
    record StopRequested() implements DutyEvent {}

    /** The lease was revoked, or the revocation failed and the lease is left to expire. */
    record LeaseRevoked() implements DutyEvent {}

    /**
     * The content of a duty's key as read from the store.
     *
     * @param holder the holder
     * @param fencingNumber the create revision of the key
     */
    record Entry(DutyHolder holder, long fencingNumber) {}
}
