package org.cactusshift.internal.coordination.order;

import io.vavr.control.Either;
import org.cactusshift.errors.Failure;

/** Sends orders and reads what became of them; each call uses a connection of its own and is bounded in time. */
public interface OrderTransport {
    /** What a target answers to an order. */
    enum SendResult {
        /** It has the order. */
        ACCEPTED,
        /** Another order is running there. */
        BUSY,
        /** It has seen a higher fencing number. */
        STALE_FENCING_NUMBER,
        /** It will not carry out this order, and no repeat of it. */
        REFUSED
    }

    /** What a target says about an order. */
    enum Progress {
        /** It does not know the order. */
        NOT_RECEIVED,
        /** The order is running. */
        RUNNING,
        /** The order was carried out. */
        DONE,
        /** The order was tried and failed. */
        FAILED
    }

    /**
     * Sends an order.
     *
     * @param order the order
     * @param fencingNumber the sender's fencing number
     * @return the answer, or the failure
     */
    Either<Failure, SendResult> send(Order order, long fencingNumber);

    /**
     * Reads what became of an order.
     *
     * @param order the order
     * @return what the target says, or the failure
     */
    Either<Failure, Progress> progress(Order order);
}
