package org.cactusshift.internal.coordination.store;

/**
 * A lease granted by the key-value store.
 *
 * @param leaseId the id that the store gave the lease; 0 stands for no lease
 * @param ttlMillis the granted time to live, in milliseconds
 */
public record LeaseGrant(long leaseId, long ttlMillis) {
    /** Stands for no lease: a key written with it does not expire. */
    public static final LeaseGrant NONE = new LeaseGrant(0, 0);

    @Override
    public boolean equals(Object other) {
        return other instanceof LeaseGrant that && leaseId == that.leaseId && ttlMillis == that.ttlMillis;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(leaseId);
    }
}
