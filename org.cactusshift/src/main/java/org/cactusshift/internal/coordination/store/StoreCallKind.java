package org.cactusshift.internal.coordination.store;

/** The kinds of calls to the key-value service, as counted and budgeted. */
public enum StoreCallKind {
    /** A read of one key. */
    GET,
    /** A read of a prefix. */
    LIST,
    /** A conditional write. */
    SWAP,
    /** A conditional deletion. */
    DELETE,
    /** A grant of a lease. */
    LEASE_GRANT,
    /** A renewal of a lease. */
    LEASE_RENEWAL,
    /** The end of a lease. */
    LEASE_REVOKE,
    /** A watch, for as long as it waits. */
    WATCH;

    /**
     * Tells whether a call of this kind changes the service's state.
     *
     * @return false for reads and watches
     */
    public boolean isWrite() {
        return this != GET && this != LIST && this != WATCH;
    }
}
