package org.cactusshift.internal.coordination.order;

/** Hears how orders ended; called by the threads of the {@link OrderService}, and must not block. */
public interface OrderListener {
    /** Hears nothing. */
    OrderListener NONE = (order, result) -> {};

    /**
     * Reports the end of an order that this node submitted or took over. An order of a duty that this node lost is
     * finished, and reported, by the next holder.
     *
     * @param order the order
     * @param result how it ended
     */
    void onOrderEnded(Order order, OrderResult result);
}
