package org.cactusshift.internal.coordination.order;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cactusshift.internal.coordination.order.OrderTransport.Progress;
import org.cactusshift.internal.coordination.order.OrderTransport.SendResult;

/** A simulated engine that records the history of the orders that it started. */
final class SimulatedEngine {
    private final boolean checksFencing;
    private final List<Order> startedOrders = new ArrayList<>();
    private Optional<Order> running = Optional.empty();
    private Optional<Order> lastCompleted = Optional.empty();
    private long runsUntilMillis;
    private long highestFencingNumber;

    SimulatedEngine(boolean checksFencing) {
        this.checksFencing = checksFencing;
    }

    List<Order> startedOrders() {
        return startedOrders;
    }

    SendResult receive(Order order, long fencingNumber, long nowMillis, long durationMillis) {
        completeIfDue(nowMillis);
        if (checksFencing && fencingNumber < highestFencingNumber) {
            return SendResult.STALE_FENCING_NUMBER;
        }
        highestFencingNumber = Math.max(highestFencingNumber, fencingNumber);
        if (running.isPresent()) {
            return running.get().id().equals(order.id()) ? SendResult.ACCEPTED : SendResult.BUSY;
        }
        boolean repeated =
                lastCompleted.filter(done -> done.id().equals(order.id())).isPresent();
        if (!repeated) {
            startedOrders.add(order);
            running = Optional.of(order);
            runsUntilMillis = nowMillis + durationMillis;
        }
        return SendResult.ACCEPTED;
    }

    Progress progress(Order order, long nowMillis) {
        completeIfDue(nowMillis);
        if (running.filter(now -> now.id().equals(order.id())).isPresent()) {
            return Progress.RUNNING;
        }
        boolean done =
                lastCompleted.filter(ended -> ended.id().equals(order.id())).isPresent();
        return done ? Progress.DONE : Progress.NOT_RECEIVED;
    }

    private void completeIfDue(long nowMillis) {
        if (running.isPresent() && nowMillis >= runsUntilMillis) {
            lastCompleted = running;
            running = Optional.empty();
        }
    }
}
