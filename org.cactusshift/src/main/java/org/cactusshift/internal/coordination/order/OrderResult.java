package org.cactusshift.internal.coordination.order;

/** How an order ended. */
public enum OrderResult {
    /** It was carried out. */
    DONE,
    /** It was tried and failed. */
    FAILED,
    /** The target refused it. */
    REFUSED
}
