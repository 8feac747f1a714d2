package org.cactusshift.internal.transport.http;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Closes connections whose deadline has passed. A socket timeout can't do this, as it restarts with each byte that is
 * read and doesn't apply to writes.
 */
final class DeadlineSweeper implements AutoCloseable {
    /** The deadline of a connection without a pending read or write. */
    static final long NO_DEADLINE_MILLIS = Long.MAX_VALUE;

    /** Bounds how late a connection is closed. */
    private static final long SWEEP_INTERVAL_MILLIS = 50;

    /** A connection that is closed when its deadline has passed. */
    interface MonitoredConnection {
        /** Returns the monotonic time at which the connection is to be closed; called on the sweeper's thread. */
        long deadlineMillis();

        /** Closes the connection without blocking; called on the sweeper's thread. */
        void closeImmediately();
    }

    private final Set<MonitoredConnection> monitoredConnections = ConcurrentHashMap.newKeySet();
    private final LongSupplier monotonicMillis;
    private final ScheduledFuture<?> task;

    DeadlineSweeper(ScheduledExecutorService scheduler, LongSupplier monotonicMillis) {
        this.monotonicMillis = monotonicMillis;
        this.task = scheduler.scheduleWithFixedDelay(
                this::sweep, SWEEP_INTERVAL_MILLIS, SWEEP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    void add(MonitoredConnection connection) {
        monitoredConnections.add(connection);
    }

    void remove(MonitoredConnection connection) {
        monitoredConnections.remove(connection);
    }

    private void sweep() {
        long nowMillis = monotonicMillis.getAsLong();
        for (MonitoredConnection connection : monitoredConnections) {
            if (connection.deadlineMillis() <= nowMillis) {
                connection.closeImmediately();
                monitoredConnections.remove(connection);
            }
        }
    }

    /** Stops the sweep; monitored connections stay open. */
    @Override
    public void close() {
        task.cancel(false);
    }
}
