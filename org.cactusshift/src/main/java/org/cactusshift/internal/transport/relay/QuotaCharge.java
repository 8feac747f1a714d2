package org.cactusshift.internal.transport.relay;

/** What a request was charged on the quota of its client account. */
interface QuotaCharge {
    /** Of a request that no quota counts, or that a peer has counted. */
    QuotaCharge NONE = () -> {};

    /**
     * Gives back the credit of a request that was sent neither to an upstream nor to a peer. A request that was sent
     * stays charged, whether it arrived or not.
     */
    void giveBack();
}
