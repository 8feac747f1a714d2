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

/** Sends the orders of the ordering duties that this node holds. */
public final class OrderService implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(OrderService.class.getName());
    private static final long TICK_MILLIS = 200;
    private static final int MAXIMUM_THREADS = 4;

    private final OrderServiceDependencies setup;
    private final Map<DutyId, OrderDutyDriver> duties = new ConcurrentHashMap<>();
    private final Set<DutyId> waiting = ConcurrentHashMap.newKeySet();
    private final ScheduledExecutorService timer =
            Executors.newSingleThreadScheduledExecutor(DaemonThreads.named("order-timer"));
    private final ExecutorService workers = Executors.newFixedThreadPool(MAXIMUM_THREADS, DaemonThreads.named("order"));

    private OrderService(OrderServiceDependencies setup) {
        this.setup = setup;
    }

    /**
     * Returns a service that is not started.
     *
     * @param setup what it works with
     * @return the service
     */
    public static OrderService create(OrderServiceDependencies setup) {
        return new OrderService(setup);
    }

    /** Starts to take over duties and to send orders. */
    public void start() {
        timer.scheduleWithFixedDelay(this::startCycles, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Adds the ordering duties of the site; one that was added before stays.
     *
     * @param added the duties
     */
    public void addDuties(Collection<DutyId> added) {
        added.forEach(duty -> duties.computeIfAbsent(duty, id -> new OrderDutyDriver(setup, id)));
    }

    /**
     * Submits an order; it is sent once it is in the duty's durable record.
     *
     * @param duty the duty that the target belongs to
     * @param order the order
     * @return the order, or the failure when the duty is not held here or the target has another outstanding order
     */
    public Either<Failure, Order> submit(DutyId duty, Order order) {
        OrderDutyDriver known = duties.get(duty);
        return known == null
                ? Either.left(Failure.noEffect("submit order", "local", "duty " + duty + " is not known"))
                : known.submit(order);
    }

    /**
     * Returns the outstanding orders of a duty.
     *
     * @param duty the duty
     * @return their states; empty when the duty is not held here
     */
    public List<OrderState> outstanding(DutyId duty) {
        OrderDutyDriver known = duties.get(duty);
        return known == null ? List.of() : known.outstanding();
    }

    /**
     * Tells whether orders of a duty can be submitted here.
     *
     * @param duty the duty
     * @return true when the duty is held and its outstanding orders are known
     */
    public boolean isHeld(DutyId duty) {
        OrderDutyDriver known = duties.get(duty);
        return known != null && known.isHeld();
    }

    /** Stops; outstanding orders are in the record and are finished by the next holder. */
    @Override
    public void close() {
        timer.shutdownNow();
        workers.shutdown();
    }

    private void startCycles() {
        duties.forEach((id, duty) -> {
            if (!waiting.add(id)) {
                return;
            }
            try {
                workers.execute(() -> runCycle(id, duty));
            } catch (RejectedExecutionException e) {
                LOG.log(System.Logger.Level.DEBUG, "order cycle after shutdown", e);
            }
        });
    }

    private void runCycle(DutyId id, OrderDutyDriver duty) {
        waiting.remove(id);
        try {
            duty.cycle();
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "order cycle", e);
        }
    }
}
