package org.cactusshift.internal.coordination.order;

/** The final result of an order. */
public enum OrderResult {
    /** The order was carried out. */
    DONE,
    /** The target failed to carry out the order. */
    FAILED,
    /** The target refused it. */
    REFUSED
}
