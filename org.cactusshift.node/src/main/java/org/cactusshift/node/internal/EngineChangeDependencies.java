package org.cactusshift.node.internal;

import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.internal.coordination.change.PlannedChange;
import org.cactusshift.internal.coordination.change.PlannedChangeStateMachine;
import org.cactusshift.internal.coordination.order.OrderService;
import org.cactusshift.internal.transport.platform.HttpEngineOrderTransport;

/**
 * What planned changes work with.
 *
 * @param incarnation this start of the node, for ids of orders
 * @param orderCounter numbers the orders of this start
 * @param stateMachine decides
 * @param orders records and sends the orders
 * @param engineOrders asks the engines
 * @param drainCoordinator asks the nodes
 * @param workers runs calls to engines
 * @param listener hears of changes that were carried out or put off; must not block
 * @param clockMillis the monotonic clock
 */
record EngineChangeDependencies(
        IncarnationId incarnation,
        AtomicLong orderCounter,
        PlannedChangeStateMachine stateMachine,
        OrderService orders,
        HttpEngineOrderTransport engineOrders,
        DrainCoordinator drainCoordinator,
        Executor workers,
        Consumer<PlannedChange> listener,
        LongSupplier clockMillis) {}
