package org.cactusshift.internal.coordination.store;

/**
 * A lease that the key-value service granted.
 *
 * @param leaseId the service's number of the lease; 0 stands for "no lease"
 * @param ttlMillis the time to live granted, in milliseconds
 */
public record LeaseGrant(long leaseId, long ttlMillis) {
    /** The absence of a lease. */
    public static final LeaseGrant NONE = new LeaseGrant(0, 0);
}
