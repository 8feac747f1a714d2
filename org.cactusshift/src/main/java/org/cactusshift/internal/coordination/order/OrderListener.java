package org.cactusshift.internal.coordination.order;

/** Listens to the end of orders. Called by the threads of the {@link OrderService}; must not block. */
public interface OrderListener {
    /** A listener that does nothing. */
    OrderListener NONE = (order, result) -> {};

    /**
     * Called when an order that this node submitted or took over has ended and was removed from the durable record, so
     * that the next order to its target may be submitted. An order of a duty that this node lost is completed and
     * reported by the next holder.
     *
     * @param order the order
     * @param result how it ended
     */
    void onOrderEnded(Order order, OrderResult result);
}
