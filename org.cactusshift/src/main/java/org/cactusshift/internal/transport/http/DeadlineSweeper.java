package org.cactusshift.internal.transport.http;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Closes connections whose deadline has passed. A socket timeout can't do this: it starts again with each byte, and it
 * doesn't hold for writes.
 */
final class DeadlineSweeper implements AutoCloseable {
    /** The deadline of a connection that waits for nothing. */
    static final long NO_DEADLINE_MILLIS = Long.MAX_VALUE;

    private static final long PERIOD_MILLIS = 50;

    /** A connection that is closed at its deadline. */
    interface MonitoredConnection {
        long deadlineMillis();

        void closeImmediately();
    }

    private final Set<MonitoredConnection> guarded = ConcurrentHashMap.newKeySet();
    private final LongSupplier clockMillis;
    private final ScheduledFuture<?> task;

    DeadlineSweeper(ScheduledExecutorService scheduler, LongSupplier clockMillis) {
        this.clockMillis = clockMillis;
        this.task = scheduler.scheduleWithFixedDelay(this::sweep, PERIOD_MILLIS, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    }

    void add(MonitoredConnection connection) {
        guarded.add(connection);
    }

    void remove(MonitoredConnection connection) {
        guarded.remove(connection);
    }

    private void sweep() {
        long nowMillis = clockMillis.getAsLong();
        for (MonitoredConnection connection : guarded) {
            if (connection.deadlineMillis() <= nowMillis) {
                connection.closeImmediately();
                guarded.remove(connection);
            }
        }
    }

    @Override
    public void close() {
        task.cancel(false);
    }
}
