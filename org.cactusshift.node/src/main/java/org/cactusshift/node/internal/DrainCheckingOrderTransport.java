package org.cactusshift.node.internal;

import io.vavr.control.Either;
import java.util.function.Predicate;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.order.Order;
import org.cactusshift.internal.coordination.order.OrderTransport;

/**
 * Sends an order only while its engine is drained. The check is made at each send, so that it also covers orders that
 * an earlier holder of the duty recorded.
 *
 * @param transport sends the orders to the engines
 * @param isDrained tests whether the engine of an order is drained
 */
record DrainCheckingOrderTransport(OrderTransport transport, Predicate<Order> isDrained) implements OrderTransport {
    @Override
    public Either<Failure, SendResult> send(Order order, long fencingNumber) {
        return isDrained.test(order)
                ? transport.send(order, fencingNumber)
                : Either.left(Failure.noEffect(
                        "send engine order", order.target(), "not sent, as the engine is not drained"));
    }

    @Override
    public Either<Failure, Progress> progress(Order order) {
        return transport.progress(order);
    }
}
