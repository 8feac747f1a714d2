package org.cactusshift.node.internal;

import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cactusshift.config.ServiceConfig;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.internal.coordination.configsync.ConfigSource;
import org.cactusshift.internal.coordination.configsync.VersionedConfig;
import org.cactusshift.internal.coordination.lease.DutyId;
import org.cactusshift.internal.coordination.order.Order;

/** Changes engines to their declared version and role, for the engine-order duties that this node holds. */
final class PlannedChangeService implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(PlannedChangeService.class.getName());
    private static final long CYCLE_PERIOD_MILLIS = 200;

    private final ConfigSource config;
    private final PlannedChangeDriverDependencies dependencies;
    private final Consumer<Set<DutyId>> engineOrderDutiesListener;
    private final Map<DutyId, PlannedChangeDriver> driverByDuty = new ConcurrentHashMap<>();
    private final Set<DutyId> runningCycles = ConcurrentHashMap.newKeySet();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "change-timer");
        thread.setDaemon(true);
        return thread;
    });
    private long lastConfigVersion = Long.MIN_VALUE;

    PlannedChangeService(
            ConfigSource config,
            PlannedChangeDriverDependencies dependencies,
            Consumer<Set<DutyId>> engineOrderDutiesListener) {
        this.config = Objects.requireNonNull(config, "config");
        this.dependencies = Objects.requireNonNull(dependencies, "dependencies");
        this.engineOrderDutiesListener = Objects.requireNonNull(engineOrderDutiesListener, "engineOrderDutiesListener");
    }

    void start() {
        timer.scheduleWithFixedDelay(this::startCycles, 0, CYCLE_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns whether this node is changing the engine of an order and recent rounds confirm that it is drained. */
    boolean isDrained(Order order) {
        return driverByDuty.values().stream().anyMatch(driver -> driver.isDrained(order));
    }

    private void startCycles() {
        try {
            config.active().ifPresent(activeConfig -> {
                updateRequiredDuties(activeConfig);
                driverByDuty.forEach((duty, driver) -> startCycle(duty, driver, activeConfig));
            });
        } catch (RuntimeException e) {
            LOG.log(
                    System.Logger.Level.ERROR,
                    "starting the cycles of planned changes failed unexpectedly; the next period tries again",
                    e);
        }
    }

    private void updateRequiredDuties(VersionedConfig activeConfig) {
        if (activeConfig.version() == lastConfigVersion) {
            return;
        }
        Map<DutyId, PlannedChangeDriver> declared = new TreeMap<>();
        for (ServiceConfig service : activeConfig.config().services()) {
            if (service.kind() != ServiceConfig.Kind.MODEL) {
                continue;
            }
            for (UpstreamConfig engine : activeConfig.config().upstreams()) {
                if (engine.service().equals(service.id())) {
                    declared.computeIfAbsent(
                            DutyId.engineOrders(engine.failureDomain(), service.id()),
                            duty -> new PlannedChangeDriver(dependencies, engine.failureDomain(), service));
                }
            }
        }
        declared.forEach(driverByDuty::putIfAbsent);
        dependencies.orders().addDuties(declared.keySet());
        engineOrderDutiesListener.accept(declared.keySet());
        lastConfigVersion = activeConfig.version();
    }

    private void startCycle(DutyId duty, PlannedChangeDriver driver, VersionedConfig activeConfig) {
        if (!runningCycles.add(duty)) {
            return;
        }
        try {
            dependencies.workers().execute(() -> runCycle(duty, driver, activeConfig));
        } catch (RejectedExecutionException e) {
            LOG.log(System.Logger.Level.DEBUG, "planned change skipped during shutdown", e);
        }
    }

    private void runCycle(DutyId duty, PlannedChangeDriver driver, VersionedConfig activeConfig) {
        try {
            driver.runCycle(activeConfig);
        } catch (RuntimeException e) {
            LOG.log(
                    System.Logger.Level.ERROR,
                    "cycle of planned changes failed unexpectedly; the next cycle tries again",
                    e);
        } finally {
            runningCycles.remove(duty);
        }
    }

    /**
     * Stops starting cycles. The next holder of the duty completes a change whose order is recorded; other changes are
     * dropped and their drains expire.
     */
    @Override
    public void close() {
        timer.shutdownNow();
    }
}
