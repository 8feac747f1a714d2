package org.cactusshift.internal.coordination.store;

/** The kinds of calls to the key-value store, by which calls are counted and budgeted. */
public enum StoreCallKind {
    /** A read of one key. */
    GET,
    /** A read of a prefix. */
    LIST,
    /** A conditional write. */
    SWAP,
    /** A conditional deletion. */
    DELETE,
    /** The grant of a lease. */
    LEASE_GRANT,
    /** The renewal of a lease. */
    LEASE_RENEWAL,
    /** The revocation of a lease. */
    LEASE_REVOKE,
    /** A watch, for as long as it is open. */
    WATCH;

    /**
     * Returns whether a call of this kind changes the state of the store.
     *
     * @return false for reads and watches
     */
    public boolean isWrite() {
        return this != GET && this != LIST && this != WATCH;
    }
}
