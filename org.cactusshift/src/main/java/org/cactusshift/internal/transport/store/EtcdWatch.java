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
 * A watch on its own connection to the store.
 *
 * <p>The watch ends and notifies its listener when the store cancels it, the connection fails or is closed by the
 * store, a message is malformed, or none is received within the timeout. After {@link #close} the listener is not
 * notified.
 */
final class EtcdWatch implements Watch, Runnable {
    private static final String STEP = "watch";

    private static final int HTTP_OK = 200;

    private final String address;

    private final StoreConnection connection;

    private final BufferedReader lines;

    private final WatchListener listener;

    /** Held while the listener is called. */
    private final Object listenerLock = new Object();

    private volatile boolean closed;

    private EtcdWatch(String address, StoreConnection connection, BufferedReader lines, WatchListener listener) {
        this.address = address;
        this.connection = connection;
        this.lines = lines;
        this.listener = listener;
    }

    /**
     * Opens a watch and waits until the store confirms it.
     *
     * @param address the address of the store
     * @param request the watch request
     * @param settings the timeouts
     * @param listener receives the events while {@link #run()} runs
     * @return the confirmed watch
     * @throws IOException if the store does not confirm it in time
     */
    static EtcdWatch open(String address, EtcdRequest request, EtcdStoreSettings settings, WatchListener listener)
            throws IOException {
        StoreConnection connection = StoreConnection.open(address, settings.connectTimeoutMillis());
        try {
            ClassicHttpResponse response = connection.sendAndReceiveHeaders(request, settings.watchTimeoutMillis());
            if (response.getCode() != HTTP_OK) {
                throw new IOException("the watch request failed with status " + response.getCode());
            }
            BufferedReader lines = new BufferedReader(
                    new InputStreamReader(response.getEntity().getContent(), StandardCharsets.UTF_8));
            String first = lines.readLine();
            if (first == null || !EtcdResponses.watchMessage(first).created()) {
                throw new IOException("the store's first message is missing or does not confirm the watch");
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
        Failure failure = readUntilEnd();
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
            // Waits for a listener call that is in progress.
            closed = true;
        }
    }

    private Failure readUntilEnd() {
        try {
            String line = lines.readLine();
            while (line != null) {
                EtcdWatchMessage message = EtcdResponses.watchMessage(line);
                if (message.canceled().isPresent()) {
                    return Failure.rejected(STEP, address, message.canceled().get());
                }
                deliver(message);
                line = lines.readLine();
            }
            return Failure.noEffect(STEP, address, "the store closed the connection");
        } catch (SocketTimeoutException e) {
            return Failure.noEffect(STEP, address, "no message within the watch timeout");
        } catch (IOException e) {
            return Failure.noEffect(STEP, address, "reading from the watch failed: " + e.getMessage());
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
