package org.cactusshift.internal.transport.relay;

/** What a request was charged on the quota of its client account. */
interface QuotaCharge {
    /** Of a request that no quota counts, or that a peer has counted. */
    QuotaCharge NONE = () -> {};

    /** Gives back the credit, as the request has reached no upstream. */
    void giveBack();
}
