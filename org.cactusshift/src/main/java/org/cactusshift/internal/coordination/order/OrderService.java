package org.cactusshift.internal.coordination.order;

import io.vavr.control.Either;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.DaemonThreads;
import org.cactusshift.internal.coordination.lease.DutyId;

/** Records, sends and tracks the orders of the ordering duties that this node holds. */
public final class OrderService implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(OrderService.class.getName());
    /** The delay between two rounds, each of which queues a cycle of every duty; a cycle advances the duty's orders. */
    private static final long CYCLE_INTERVAL_MILLIS = 200;
    /** The maximum number of duties whose cycles run at the same time; a cycle blocks in calls to its targets. */
    private static final int MAXIMUM_THREADS = 4;

    private final OrderServiceDependencies dependencies;
    private final Map<DutyId, OrderDutyDriver> driverByDuty = new ConcurrentHashMap<>();
    private final Set<DutyId> queuedDuties = ConcurrentHashMap.newKeySet();
    private final ScheduledExecutorService timer =
            Executors.newSingleThreadScheduledExecutor(DaemonThreads.named("order-timer"));
    private final ExecutorService workers = Executors.newFixedThreadPool(MAXIMUM_THREADS, DaemonThreads.named("order"));

    private OrderService(OrderServiceDependencies dependencies) {
        this.dependencies = dependencies;
    }

    /**
     * Returns a service that is not started.
     *
     * @param dependencies the collaborators and parameters of the service
     * @return the service
     */
    public static OrderService create(OrderServiceDependencies dependencies) {
        return new OrderService(dependencies);
    }

    /** Starts to take over duties and to send orders. */
    public void start() {
        timer.scheduleWithFixedDelay(this::startCycles, 0, CYCLE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Adds ordering duties of the site. Duties that were added before are not affected.
     *
     * @param added the duties
     */
    public void addDuties(Collection<DutyId> added) {
        added.forEach(duty -> driverByDuty.computeIfAbsent(duty, id -> new OrderDutyDriver(dependencies, id)));
    }

    /**
     * Submits an order. It is sent after it was written to the durable record of the duty.
     *
     * @param duty the duty that the target belongs to
     * @param order the order
     * @return the order, which is not durable yet; or the failure when the duty was not added, when this node does not
     *     hold it or has not loaded its record, or when another order to the target is outstanding
     */
    public Either<Failure, Order> submit(DutyId duty, Order order) {
        OrderDutyDriver driver = driverByDuty.get(duty);
        return driver == null
                ? Either.left(Failure.noEffect(
                        "submit order", "local", "duty " + duty + " is not an ordering duty of this site"))
                : driver.submit(order);
    }

    /**
     * Returns the outstanding orders of a duty.
     *
     * @param duty the duty
     * @return their states; empty when this node does not hold the duty
     */
    public List<OrderState> outstanding(DutyId duty) {
        OrderDutyDriver driver = driverByDuty.get(duty);
        return driver == null ? List.of() : driver.outstanding();
    }

    /**
     * Returns whether this node holds a duty, so that orders can be submitted to it.
     *
     * @param duty the duty
     * @return true when the duty is held and its outstanding orders have been loaded
     */
    public boolean isHeld(DutyId duty) {
        OrderDutyDriver driver = driverByDuty.get(duty);
        return driver != null && driver.isHeld();
    }

    /**
     * Stops the service. Outstanding orders in the durable record are completed by the next holder; an order that was
     * not recorded yet was not sent and is lost.
     */
    @Override
    public void close() {
        timer.shutdownNow();
        workers.shutdown();
    }

    private void startCycles() {
        driverByDuty.forEach((duty, driver) -> {
            if (!queuedDuties.add(duty)) {
                return;
            }
            try {
                workers.execute(() -> runCycle(duty, driver));
            } catch (RejectedExecutionException e) {
                LOG.log(System.Logger.Level.DEBUG, "order cycle rejected because the service is shut down", e);
            }
        });
    }

    private void runCycle(DutyId duty, OrderDutyDriver driver) {
        queuedDuties.remove(duty);
        try {
            driver.runCycle();
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "order cycle failed; the next cycle follows on the timer", e);
        }
    }
}
