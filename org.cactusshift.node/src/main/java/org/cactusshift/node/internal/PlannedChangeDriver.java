package org.cactusshift.node.internal;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cactusshift.config.ServiceConfig;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.errors.Failure;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.OrderId;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.change.ChangeSelector;
import org.cactusshift.internal.coordination.change.DrainResponse;
import org.cactusshift.internal.coordination.change.EngineReport;
import org.cactusshift.internal.coordination.change.PlannedChange;
import org.cactusshift.internal.coordination.change.Postponement;
import org.cactusshift.internal.coordination.change.RequiredChange;
import org.cactusshift.internal.coordination.configsync.VersionedConfig;
import org.cactusshift.internal.coordination.lease.DutyId;
import org.cactusshift.internal.coordination.order.Order;
import org.cactusshift.internal.coordination.order.OrderState;

/**
 * Brings the engines of one service in one failure domain to their declared model version and role, one engine at a
 * time: drains the engine on all nodes, sends it an order and ends the drain.
 */
final class PlannedChangeDriver {
    private static final System.Logger LOG = System.getLogger(PlannedChangeDriver.class.getName());
    private static final long STATUS_POLL_PERIOD_MILLIS = 1_000;

    private final PlannedChangeDriverDependencies dependencies;
    private final FailureDomainId failureDomain;
    private final ServiceConfig service;
    private final DutyId duty;
    private final Map<UpstreamId, Postponement> postponementByEngine = new HashMap<>();
    private long nextStatusPollMillis = Long.MIN_VALUE;
    private volatile Optional<PlannedChange> currentChange = Optional.empty();

    PlannedChangeDriver(
            PlannedChangeDriverDependencies dependencies, FailureDomainId failureDomain, ServiceConfig service) {
        this.dependencies = dependencies;
        this.failureDomain = failureDomain;
        this.service = service;
        this.duty = DutyId.engineOrders(failureDomain, service.id());
    }

    /** Returns whether this driver is changing the engine of an order and recent rounds confirm that it is drained. */
    boolean isDrained(Order order) {
        return currentChange
                .filter(change -> change.engine().value().equals(order.target()))
                .filter(change -> dependencies.stateMachine().mayOrder(change, nowMillis()))
                .isPresent();
    }

    /** Advances the current change, or starts the next one. Concurrent calls are serialized. */
    synchronized void runCycle(VersionedConfig activeConfig) {
        if (!dependencies.orders().isHeld(duty)) {
            // The next holder of the duty continues the change: its requests renew the drain, or the drain expires.
            currentChange = Optional.empty();
            return;
        }
        List<Order> outstanding = dependencies.orders().outstanding(duty).stream()
                .map(OrderState::order)
                .toList();
        outstanding.stream()
                .findFirst()
                .filter(order ->
                        currentChange.filter(change -> targets(change, order)).isEmpty())
                .ifPresent(this::takeOverOrder);
        if (currentChange.isEmpty()) {
            startNextChange(activeConfig);
        }
        currentChange.ifPresent(change -> advance(change, outstanding, activeConfig));
    }

    private void takeOverOrder(Order order) {
        currentChange.ifPresent(change -> dependencies.drainCoordinator().end(change.engine()));
        currentChange = Optional.of(dependencies.stateMachine().takeOver(order, nowMillis()));
    }

    private void startNextChange(VersionedConfig activeConfig) {
        if (nowMillis() < nextStatusPollMillis) {
            return;
        }
        nextStatusPollMillis = nowMillis() + STATUS_POLL_PERIOD_MILLIS;
        boolean changeRequired = pollEngines(declaredEngines(activeConfig).stream()
                        .filter(engine -> engine.failureDomain().equals(failureDomain))
                        .toList())
                .stream()
                .anyMatch(report -> ChangeSelector.requiredChange(report, activeModelVersion(activeConfig))
                        .isPresent());
        if (changeRequired) {
            // The engines of other failure domains are polled only if a change is required in this one.
            currentChange = ChangeSelector.nextChange(
                            failureDomain,
                            activeModelVersion(activeConfig),
                            pollEngines(declaredEngines(activeConfig)),
                            postponementByEngine,
                            nowMillis())
                    .map(next -> dependencies.stateMachine().start(next, nowMillis()));
        }
    }

    private void advance(PlannedChange change, List<Order> outstanding, VersionedConfig activeConfig) {
        Optional<UpstreamConfig> engine = declaredEngines(activeConfig).stream()
                .filter(declared -> declared.id().equals(change.engine()))
                .findFirst();
        if (engine.isEmpty()) {
            // The engine is no longer declared. An order that was already sent can still complete; one that was not is
            // not sent.
            currentChange = Optional.empty();
            return;
        }
        boolean orderEnded = change.phase() == PlannedChange.Phase.ORDERED
                && outstanding.stream().noneMatch(order -> targets(change, order));
        PlannedChange next;
        if (orderEnded) {
            next = dependencies
                    .stateMachine()
                    .onOrderEnded(
                            change, pollEngines(List.of(engine.get())).get(0).status());
        } else {
            long requestedAtMillis = nowMillis();
            List<DrainResponse> responses =
                    dependencies.drainCoordinator().requestDrain(change.engine(), activeConfig.version());
            next = dependencies.stateMachine().onRound(change, responses, requestedAtMillis, nowMillis());
            next = orderIfDrained(next, engine.get(), activeConfig);
        }
        updateCurrentChange(next);
    }

    private PlannedChange orderIfDrained(PlannedChange change, UpstreamConfig engine, VersionedConfig activeConfig) {
        if (change.phase() != PlannedChange.Phase.DRAINING
                || !dependencies.stateMachine().mayOrder(change, nowMillis())) {
            return change;
        }
        List<EngineReport> allReports = pollEngines(declaredEngines(activeConfig));
        boolean stillRequired = allReports.stream()
                .filter(report -> report.engine().id().equals(engine.id()))
                .flatMap(report -> ChangeSelector.requiredChange(report, activeModelVersion(activeConfig)).stream())
                .map(RequiredChange::content)
                .anyMatch(change.content()::equals);
        if (!stillRequired || !ChangeSelector.canBeTakenOutOfService(engine.id(), allReports)) {
            return dependencies.stateMachine().onEngineNeededInService(change);
        }
        Order order = Order.toEngine(nextOrderId(), engine, change.content());
        Either<Failure, Order> submitted = dependencies.orders().submit(duty, order);
        submitted.peekLeft(failure -> LOG.log(System.Logger.Level.WARNING, failure::toString));
        return submitted.isRight() ? dependencies.stateMachine().onSubmitted(change) : change;
    }

    private OrderId nextOrderId() {
        return OrderId.fromString(
                dependencies.incarnation() + "-" + dependencies.orderCounter().incrementAndGet());
    }

    private void updateCurrentChange(PlannedChange change) {
        if (!change.isEnded()) {
            currentChange = Optional.of(change);
            return;
        }
        currentChange = Optional.empty();
        nextStatusPollMillis = Long.MIN_VALUE;
        dependencies.drainCoordinator().end(change.engine());
        if (change.phase() == PlannedChange.Phase.DONE) {
            postponementByEngine.remove(change.engine());
        } else {
            postponementByEngine.compute(
                    change.engine(),
                    (engine, previous) ->
                            dependencies.stateMachine().postpone(change, Optional.ofNullable(previous), nowMillis()));
        }
        if (change.phase() != PlannedChange.Phase.GAVE_WAY) {
            dependencies.listener().accept(change);
            LOG.log(
                    System.Logger.Level.INFO,
                    "planned change {0} of engine {1} ended as {2}; if PUT_OFF, it is tried again after a delay",
                    change.content(),
                    change.engine(),
                    change.phase());
        }
    }

    private List<EngineReport> pollEngines(List<UpstreamConfig> engines) {
        List<CompletableFuture<EngineReport>> calls = engines.stream()
                .map(engine -> CompletableFuture.supplyAsync(
                        () -> new EngineReport(
                                engine,
                                dependencies.engineStatusReader().status(engine).toJavaOptional()),
                        dependencies.workers()))
                .toList();
        return calls.stream().map(CompletableFuture::join).toList();
    }

    private List<UpstreamConfig> declaredEngines(VersionedConfig activeConfig) {
        return activeConfig.config().upstreams().stream()
                .filter(upstream -> upstream.service().equals(service.id()))
                .toList();
    }

    private String activeModelVersion(VersionedConfig activeConfig) {
        return activeConfig.config().services().stream()
                .filter(declared -> declared.id().equals(service.id()))
                .map(ServiceConfig::activeVersion)
                .findFirst()
                .orElse(service.activeVersion());
    }

    private static boolean targets(PlannedChange change, Order order) {
        return change.engine().value().equals(order.target());
    }

    private long nowMillis() {
        return dependencies.monotonicMillis().getAsLong();
    }
}
