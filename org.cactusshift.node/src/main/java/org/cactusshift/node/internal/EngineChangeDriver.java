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

/** Drives the planned changes of the engines of one service in one failure domain, one change at a time. */
final class EngineChangeDriver {
    private static final System.Logger LOG = System.getLogger(EngineChangeDriver.class.getName());
    private static final long POLL_PERIOD_MILLIS = 1_000;

    private final EngineChangeDependencies dependencies;
    private final FailureDomainId failureDomain;
    private final ServiceConfig service;
    private final DutyId duty;
    private final Map<UpstreamId, Postponement> postponementByEngine = new HashMap<>();
    private long nextPollMillis = Long.MIN_VALUE;
    private volatile Optional<PlannedChange> current = Optional.empty();

    EngineChangeDriver(EngineChangeDependencies dependencies, FailureDomainId failureDomain, ServiceConfig service) {
        this.dependencies = dependencies;
        this.failureDomain = failureDomain;
        this.service = service;
        this.duty = DutyId.engineOrders(failureDomain, service.id());
    }

    /** Returns whether the engine of an order is drained, so that the order may be sent. */
    boolean isDrained(Order order) {
        return current.filter(change -> change.engine().value().equals(order.target()))
                .filter(change -> dependencies.stateMachine().mayOrder(change, nowMillis()))
                .isPresent();
    }

    /** Advances the current change, or starts the next one. Calls do not run concurrently. */
    synchronized void runCycle(VersionedConfig installed) {
        if (!dependencies.orders().isHeld(duty)) {
            // The next holder of the duty continues the change: its requests renew the drain, or the drain expires.
            current = Optional.empty();
            return;
        }
        List<Order> outstanding = dependencies.orders().outstanding(duty).stream()
                .map(OrderState::order)
                .toList();
        outstanding.stream()
                .findFirst()
                .filter(order ->
                        current.filter(change -> targets(change, order)).isEmpty())
                .ifPresent(this::adoptOutstandingOrder);
        if (current.isEmpty()) {
            startNextChange(installed);
        }
        current.ifPresent(change -> advance(change, outstanding, installed));
    }

    private void adoptOutstandingOrder(Order order) {
        current.ifPresent(change -> dependencies.drainCoordinator().end(change.engine()));
        current = Optional.of(dependencies.stateMachine().takeOver(order, nowMillis()));
    }

    private void startNextChange(VersionedConfig installed) {
        if (nowMillis() < nextPollMillis) {
            return;
        }
        nextPollMillis = nowMillis() + POLL_PERIOD_MILLIS;
        boolean changeRequired = pollEngines(declaredEngines(installed).stream()
                        .filter(engine -> engine.failureDomain().equals(failureDomain))
                        .toList())
                .stream()
                .anyMatch(report -> ChangeSelector.requiredChange(report, activeVersion(installed))
                        .isPresent());
        if (changeRequired) {
            // The engines of other failure domains are polled only if a change is required in this one.
            current = ChangeSelector.nextChange(
                            failureDomain,
                            activeVersion(installed),
                            pollEngines(declaredEngines(installed)),
                            postponementByEngine,
                            nowMillis())
                    .map(next -> dependencies.stateMachine().start(next, nowMillis()));
        }
    }

    private void advance(PlannedChange change, List<Order> outstanding, VersionedConfig installed) {
        Optional<UpstreamConfig> engine = declaredEngines(installed).stream()
                .filter(declared -> declared.id().equals(change.engine()))
                .findFirst();
        if (engine.isEmpty()) {
            // An outstanding order to an engine that is no longer declared completes without a drain.
            current = Optional.empty();
            return;
        }
        boolean ended = change.phase() == PlannedChange.Phase.ORDERED
                && outstanding.stream().noneMatch(order -> targets(change, order));
        PlannedChange next;
        if (ended) {
            next = dependencies
                    .stateMachine()
                    .onOrderEnded(
                            change, pollEngines(List.of(engine.get())).get(0).status());
        } else {
            long requestedAtMillis = nowMillis();
            List<DrainResponse> responses =
                    dependencies.drainCoordinator().requestDrain(change.engine(), installed.version());
            next = dependencies.stateMachine().onRound(change, responses, requestedAtMillis, nowMillis());
            next = orderIfDrained(next, engine.get(), installed);
        }
        updateCurrent(next);
    }

    private PlannedChange orderIfDrained(PlannedChange change, UpstreamConfig engine, VersionedConfig installed) {
        if (change.phase() != PlannedChange.Phase.DRAINING
                || !dependencies.stateMachine().mayOrder(change, nowMillis())) {
            return change;
        }
        List<EngineReport> allReports = pollEngines(declaredEngines(installed));
        boolean stillRequired = allReports.stream()
                .filter(report -> report.engine().id().equals(engine.id()))
                .flatMap(report -> ChangeSelector.requiredChange(report, activeVersion(installed)).stream())
                .map(RequiredChange::content)
                .anyMatch(change.content()::equals);
        if (!stillRequired || !ChangeSelector.canBeTakenOutOfService(engine.id(), allReports)) {
            return dependencies.stateMachine().onEngineRequired(change);
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

    private void updateCurrent(PlannedChange change) {
        if (!change.isEnded()) {
            current = Optional.of(change);
            return;
        }
        current = Optional.empty();
        nextPollMillis = Long.MIN_VALUE;
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
                    "planned change {0} of engine {1} ended: {2}",
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
                                dependencies.engineOrders().status(engine).toJavaOptional()),
                        dependencies.workers()))
                .toList();
        return calls.stream().map(CompletableFuture::join).toList();
    }

    private List<UpstreamConfig> declaredEngines(VersionedConfig installed) {
        return installed.config().upstreams().stream()
                .filter(upstream -> upstream.service().equals(service.id()))
                .toList();
    }

    private String activeVersion(VersionedConfig installed) {
        return installed.config().services().stream()
                .filter(declared -> declared.id().equals(service.id()))
                .map(ServiceConfig::activeVersion)
                .findFirst()
                .orElse(service.activeVersion());
    }

    private static boolean targets(PlannedChange change, Order order) {
        return change.engine().value().equals(order.target());
    }

    private long nowMillis() {
        return dependencies.clockMillis().getAsLong();
    }
}
