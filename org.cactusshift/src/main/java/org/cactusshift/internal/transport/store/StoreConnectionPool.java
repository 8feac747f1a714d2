package org.cactusshift.internal.transport.store;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/** The idle connections to one address of the key-value service. */
final class StoreConnectionPool {
    private final String address;

    private final EtcdStoreSettings settings;

    private final Deque<StoreConnection> idle = new ArrayDeque<>();

    private boolean closed;

    StoreConnectionPool(String address, EtcdStoreSettings settings) {
        this.address = address;
        this.settings = settings;
    }

    String address() {
        return address;
    }

    /**
     * Takes an idle connection that the peer has not closed, or opens one.
     *
     * @return the connection; returned by {@link #release} or aborted
     * @throws IOException if none can be opened
     */
    StoreConnection acquire() throws IOException {
        Optional<StoreConnection> found = poll();
        while (found.isPresent()) {
            if (!found.get().isStale()) {
                found.get().markReused();
                return found.get();
            }
            found.get().abort();
            found = poll();
        }
        return open();
    }

    /**
     * Opens a connection.
     *
     * @return the connection; returned by {@link #release} or aborted
     * @throws IOException if it can't be opened
     */
    StoreConnection open() throws IOException {
        return StoreConnection.open(address, settings.connectTimeoutMillis());
    }

    /** Keeps a connection for later calls when its last answer allows it, else closes it. */
    void release(StoreConnection connection) {
        synchronized (idle) {
            if (!closed && connection.isReusable() && idle.size() < settings.idleConnectionsPerAddress()) {
                idle.push(connection);
                return;
            }
        }
        connection.abort();
    }

    /** Closes the idle connections; what silenced one connection may have silenced all that were open. */
    void closeIdle() {
        List<StoreConnection> discarded;
        synchronized (idle) {
            discarded = new ArrayList<>(idle);
            idle.clear();
        }
        discarded.forEach(StoreConnection::abort);
    }

    void close() {
        synchronized (idle) {
            closed = true;
        }
        closeIdle();
    }

    private Optional<StoreConnection> poll() {
        synchronized (idle) {
            return Optional.ofNullable(idle.poll());
        }
    }
}
