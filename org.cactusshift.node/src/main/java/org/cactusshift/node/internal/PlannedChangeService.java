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
    private static final long TICK_MILLIS = 200;

    private final ConfigSource config;
    private final EngineChangeDependencies dependencies;
    private final Consumer<Set<DutyId>> requiredDutiesListener;
    private final Map<DutyId, EngineChangeDriver> driverByDuty = new ConcurrentHashMap<>();
    private final Set<DutyId> runningCycles = ConcurrentHashMap.newKeySet();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "change-timer");
        thread.setDaemon(true);
        return thread;
    });
    private long lastSeenVersion = Long.MIN_VALUE;

    PlannedChangeService(
            ConfigSource config, EngineChangeDependencies dependencies, Consumer<Set<DutyId>> requiredDutiesListener) {
        this.config = Objects.requireNonNull(config, "config");
        this.dependencies = Objects.requireNonNull(dependencies, "dependencies");
        this.requiredDutiesListener = Objects.requireNonNull(requiredDutiesListener, "requiredDutiesListener");
    }

    void start() {
        timer.scheduleWithFixedDelay(this::tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns whether the engine of an order is drained, so that the order may be sent. */
    boolean isDrained(Order order) {
        return driverByDuty.values().stream().anyMatch(driver -> driver.isDrained(order));
    }

    private void tick() {
        try {
            config.current().ifPresent(installed -> {
                updateRequiredDuties(installed);
                driverByDuty.forEach((duty, driver) -> startCycle(duty, driver, installed));
            });
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "starting planned changes failed; the next period tries again", e);
        }
    }

    private void updateRequiredDuties(VersionedConfig installed) {
        if (installed.version() == lastSeenVersion) {
            return;
        }
        Map<DutyId, EngineChangeDriver> declared = new TreeMap<>();
        for (ServiceConfig service : installed.config().services()) {
            if (service.kind() != ServiceConfig.Kind.MODEL) {
                continue;
            }
            for (UpstreamConfig engine : installed.config().upstreams()) {
                if (engine.service().equals(service.id())) {
                    declared.computeIfAbsent(
                            DutyId.engineOrders(engine.failureDomain(), service.id()),
                            duty -> new EngineChangeDriver(dependencies, engine.failureDomain(), service));
                }
            }
        }
        declared.forEach(driverByDuty::putIfAbsent);
        dependencies.orders().addDuties(declared.keySet());
        requiredDutiesListener.accept(declared.keySet());
        lastSeenVersion = installed.version();
    }

    private void startCycle(DutyId duty, EngineChangeDriver driver, VersionedConfig installed) {
        if (!runningCycles.add(duty)) {
            return;
        }
        try {
            dependencies.workers().execute(() -> runCycle(duty, driver, installed));
        } catch (RejectedExecutionException e) {
            LOG.log(System.Logger.Level.DEBUG, "planned change skipped during shutdown", e);
        }
    }

    private void runCycle(DutyId duty, EngineChangeDriver driver, VersionedConfig installed) {
        try {
            driver.runCycle(installed);
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "planned change failed; the next cycle tries again", e);
        } finally {
            runningCycles.remove(duty);
        }
    }

    /** Stops. The next holder of the duty completes a change whose order is recorded. */
    @Override
    public void close() {
        timer.shutdownNow();
    }
}
