package org.cactusshift.internal.transport.store;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.store.KeyChange;
import org.cactusshift.internal.coordination.store.Watch;
import org.cactusshift.internal.coordination.store.WatchListener;
import org.cactusshift.internal.protocol.etcd.EtcdRequest;
import org.cactusshift.internal.protocol.etcd.EtcdResponses;
import org.cactusshift.internal.protocol.etcd.EtcdWatchMessage;

/**
 * One watch on its own connection.
 *
 * <p>Ends, and tells its listener so, when the connection breaks or brings nothing for the longest silence allowed.
 */
final class EtcdWatch implements Watch, Runnable {
    private static final String STEP = "watch";

    private static final int HTTP_OK = 200;

    private final String peer;

    private final StoreConnection connection;

    private final BufferedReader lines;

    private final WatchListener listener;

    /** Held while the listener runs. */
    private final Object listenerLock = new Object();

    private volatile boolean closed;

    private EtcdWatch(String peer, StoreConnection connection, BufferedReader lines, WatchListener listener) {
        this.peer = peer;
        this.connection = connection;
        this.lines = lines;
        this.listener = listener;
    }

    /**
     * Opens a watch and waits until the service confirms it.
     *
     * @param address the address of the service
     * @param request the request
     * @param settings the limits of time
     * @param listener receives the events once {@link #run()} runs
     * @return the confirmed watch
     * @throws IOException if the service does not confirm it in time
     */
    static EtcdWatch open(String address, EtcdRequest request, EtcdStoreSettings settings, WatchListener listener)
            throws IOException {
        StoreConnection connection = StoreConnection.open(address, settings.connectTimeoutMillis());
        try {
            ClassicHttpResponse response = connection.sendRequest(request, settings.watchTimeoutMillis());
            if (response.getCode() != HTTP_OK) {
                throw new IOException("status " + response.getCode());
            }
            BufferedReader lines = new BufferedReader(
                    new InputStreamReader(response.getEntity().getContent(), StandardCharsets.UTF_8));
            String first = lines.readLine();
            if (first == null || !EtcdResponses.watchMessage(first).created()) {
                throw new IOException("the watch was not confirmed");
            }
            return new EtcdWatch(address, connection, lines, listener);
        } catch (IOException | RuntimeException e) {
            connection.abort();
            throw e;
        }
    }

    /** Reads events until the watch ends. */
    @Override
    public void run() {
        Failure failure = readToEnd();
        connection.abort();
        synchronized (listenerLock) {
            if (!closed) {
                closed = true;
                listener.onEnd(failure);
            }
        }
    }

    @Override
    public void close() {
        closed = true;
        connection.abort();
        synchronized (listenerLock) {
            // Waits for a listener call that was under way.
            closed = true;
        }
    }

    private Failure readToEnd() {
        try {
            String line = lines.readLine();
            while (line != null) {
                EtcdWatchMessage message = EtcdResponses.watchMessage(line);
                if (message.canceled().isPresent()) {
                    return Failure.rejected(STEP, peer, message.canceled().get());
                }
                deliver(message);
                line = lines.readLine();
            }
            return Failure.noEffect(STEP, peer, "the service closed the connection");
        } catch (SocketTimeoutException e) {
            return Failure.noEffect(STEP, peer, "silent for longer than allowed");
        } catch (IOException e) {
            return Failure.noEffect(STEP, peer, "connection lost: " + e.getMessage());
        }
    }

    private void deliver(EtcdWatchMessage message) {
        synchronized (listenerLock) {
            for (KeyChange change : message.changes()) {
                if (!closed) {
                    listener.onChange(change.key(), change.value(), change.revision());
                }
            }
            if (!closed) {
                listener.onProgress(message.deliveredRevision());
            }
        }
    }
}
