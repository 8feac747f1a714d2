package org.cactusshift.internal.coordination.order;

import io.vavr.control.Either;
import org.cactusshift.errors.Failure;

/** Sends orders and reads their progress. Each call uses its own connection and has a timeout. */
public interface OrderTransport {
    /** The result of sending an order. */
    enum SendResult {
        /** The target has accepted the order. */
        ACCEPTED,
        /** The target is running another order. */
        BUSY,
        /** The target has seen a higher fencing number. */
        STALE_FENCING_NUMBER,
        /** The target refuses this order and every repetition of it. */
        REFUSED
    }

    /** The progress of an order that a target reports. */
    enum Progress {
        /** The target has not received the order. */
        NOT_RECEIVED,
        /** The order is running. */
        RUNNING,
        /** The order was carried out. */
        DONE,
        /** The target failed to carry out the order. */
        FAILED
    }

    /**
     * Sends an order.
     *
     * @param order the order
     * @param fencingNumber the sender's fencing number
     * @return the result, or the failure
     */
    Either<Failure, SendResult> send(Order order, long fencingNumber);

    /**
     * Reads the progress of an order.
     *
     * @param order the order
     * @return the reported progress, or the failure
     */
    Either<Failure, Progress> progress(Order order);
}
