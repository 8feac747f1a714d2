package org.cactusshift.node.internal;

import io.vavr.control.Either;
import java.util.function.Predicate;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.order.Order;
import org.cactusshift.internal.coordination.order.OrderTransport;

/**
 * Sends an order only while its engine is drained, also if an earlier holder of the duty recorded the order.
 *
 * @param transport sends the orders to the engines
 * @param isDrained tests whether no attempt runs on the engine of an order
 */
record DrainCheckingOrderTransport(OrderTransport transport, Predicate<Order> isDrained) implements OrderTransport {
    @Override
    public Either<Failure, SendResult> send(Order order, long fencingNumber) {
        return isDrained.test(order)
                ? transport.send(order, fencingNumber)
                : Either.left(Failure.noEffect("send engine order", order.target(), "the engine is not drained"));
    }

    @Override
    public Either<Failure, Progress> progress(Order order) {
        return transport.progress(order);
    }
}
