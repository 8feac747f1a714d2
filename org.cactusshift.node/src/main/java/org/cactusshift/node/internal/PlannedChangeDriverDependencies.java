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
 * The dependencies of each {@link PlannedChangeDriver}.
 *
 * @param incarnation the incarnation of this node, a part of its order ids
 * @param orderCounter counts the orders of this incarnation, the other part of the order ids
 * @param stateMachine decides the transitions of a change
 * @param orders records and sends orders
 * @param engineStatusReader reads the status of engines
 * @param drainCoordinator drains engines on all nodes
 * @param workers runs blocking calls to engines
 * @param listener receives the changes that were completed or postponed; must not block
 * @param monotonicMillis the monotonic clock
 */
record PlannedChangeDriverDependencies(
        IncarnationId incarnation,
        AtomicLong orderCounter,
        PlannedChangeStateMachine stateMachine,
        OrderService orders,
        HttpEngineOrderTransport engineStatusReader,
        DrainCoordinator drainCoordinator,
        Executor workers,
        Consumer<PlannedChange> listener,
        LongSupplier monotonicMillis) {}
