package org.cactusshift.internal.transport.store;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/** Pools connections to one address of the key-value store; the number in use is not limited. */
final class StoreConnectionPool {
    private final String address;

    private final EtcdStoreSettings settings;

    private final Deque<StoreConnection> idleConnections = new ArrayDeque<>();

    private boolean closed;

    StoreConnectionPool(String address, EtcdStoreSettings settings) {
        this.address = address;
        this.settings = settings;
    }

    String address() {
        return address;
    }

    /**
     * Returns an idle connection that the store has not closed, or opens a new one.
     *
     * @return the connection, to be passed to {@link #release} or aborted
     * @throws IOException if no connection can be opened
     */
    StoreConnection acquire() throws IOException {
        Optional<StoreConnection> candidate = pollIdle();
        while (candidate.isPresent()) {
            if (!candidate.get().isStale()) {
                candidate.get().markReused();
                return candidate.get();
            }
            candidate.get().abort();
            candidate = pollIdle();
        }
        return open();
    }

    /**
     * Opens a connection.
     *
     * @return the connection, to be passed to {@link #release} or aborted
     * @throws IOException if it can't be opened
     */
    StoreConnection open() throws IOException {
        return StoreConnection.open(address, settings.connectTimeoutMillis());
    }

    /** Returns a connection to the pool if it is reusable and the pool has room, otherwise closes it. */
    void release(StoreConnection connection) {
        synchronized (idleConnections) {
            if (!closed && connection.isReusable() && idleConnections.size() < settings.idleConnectionsPerAddress()) {
                idleConnections.push(connection);
                return;
            }
        }
        connection.abort();
    }

    /**
     * Closes the idle connections. Called after a failed call, as the fault that made one connection unresponsive may
     * affect every open connection.
     */
    void closeIdle() {
        List<StoreConnection> closing;
        synchronized (idleConnections) {
            closing = new ArrayList<>(idleConnections);
            idleConnections.clear();
        }
        closing.forEach(StoreConnection::abort);
    }

    /** Closes the idle connections; those in use are closed when they are released. */
    void close() {
        synchronized (idleConnections) {
            closed = true;
        }
        closeIdle();
    }

    private Optional<StoreConnection> pollIdle() {
        synchronized (idleConnections) {
            return Optional.ofNullable(idleConnections.poll());
        }
    }
}
