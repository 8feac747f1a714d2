package org.cactusshift.internal.transport.store;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ConnectionReuseStrategy;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.impl.HttpProcessors;
import org.apache.hc.core5.http.impl.io.HttpRequestExecutor;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;
import org.cactusshift.internal.protocol.etcd.EtcdRequest;
import org.cactusshift.internal.transport.http.ClientConnection;

/** A connection to the key-value store, used by one call at a time. */
final class StoreConnection {
    private static final HttpRequestExecutor EXECUTOR = new HttpRequestExecutor();

    private static final HttpProcessor PROCESSOR = HttpProcessors.client();

    private static final ConnectionReuseStrategy REUSE_STRATEGY = DefaultConnectionReuseStrategy.INSTANCE;

    private final HttpHost host;

    private final ClientConnection connection;

    private boolean reusable;

    private boolean reused;

    private boolean broken;

    private StoreConnection(HttpHost host, ClientConnection connection) {
        this.host = host;
        this.connection = connection;
    }

    /**
     * Opens a connection. No part of a call has been sent if this fails.
     *
     * @param address the address as {@code ADDRESS:PORT}
     * @param connectTimeoutMillis the longest time to open the connection, in milliseconds
     * @return the connection
     * @throws IOException if it can't be opened in time
     */
    static StoreConnection open(String address, long connectTimeoutMillis) throws IOException {
        HttpHost host = hostOf(address);
        Socket socket = new Socket();
        try {
            socket.setTcpNoDelay(true);
            socket.connect(
                    new InetSocketAddress(host.getHostName(), host.getPort()), Math.toIntExact(connectTimeoutMillis));
            return new StoreConnection(host, ClientConnection.bindTo(socket));
        } catch (IOException | RuntimeException e) {
            socket.close();
            throw e;
        }
    }

    /**
     * Sends a request and reads the complete response; the calling code bounds the total time by {@link #abort}.
     *
     * @param request the request
     * @param timeoutMillis the longest wait for the next bytes, in milliseconds
     * @return the response
     * @throws IOException if the exchange failed; the request may have taken effect
     */
    StoreResponse exchange(EtcdRequest request, long timeoutMillis) throws IOException {
        HttpCoreContext context = HttpCoreContext.create();
        try (ClassicHttpResponse response = sendAndReceiveHeaders(request, timeoutMillis, context)) {
            byte[] body = EntityUtils.toByteArray(response.getEntity());
            reusable = REUSE_STRATEGY.keepAlive(context.getRequest(), response, context);
            return new StoreResponse(response.getCode(), body == null ? new byte[0] : body);
        }
    }

    /**
     * Sends a request and reads the status line and headers of the response.
     *
     * @param request the request
     * @param timeoutMillis the longest wait for the next bytes, in milliseconds
     * @return the response, whose body is still to be read
     * @throws IOException if the exchange failed; the request may have taken effect
     */
    ClassicHttpResponse sendAndReceiveHeaders(EtcdRequest request, long timeoutMillis) throws IOException {
        return sendAndReceiveHeaders(request, timeoutMillis, HttpCoreContext.create());
    }

    private ClassicHttpResponse sendAndReceiveHeaders(EtcdRequest request, long timeoutMillis, HttpCoreContext context)
            throws IOException {
        ClassicHttpRequest message = ClassicRequestBuilder.post(request.path())
                .setHttpHost(host)
                .setEntity(new ByteArrayEntity(request.body(), ContentType.APPLICATION_JSON))
                .build();
        connection.setSocketTimeout(Timeout.ofMilliseconds(timeoutMillis));
        try {
            EXECUTOR.preProcess(message, PROCESSOR, context);
            ClassicHttpResponse response = EXECUTOR.execute(message, connection, context);
            EXECUTOR.postProcess(response, PROCESSOR, context);
            return response;
        } catch (HttpException e) {
            throw new IOException("malformed HTTP response from " + host.toHostString(), e);
        }
    }

    /**
     * Returns whether the last response that {@link #exchange} read completely allows another request on the
     * connection; a call that fails doesn't change this.
     */
    boolean isReusable() {
        return reusable;
    }

    /** Records that the connection comes from the pool and has served an earlier call. */
    void markReused() {
        reused = true;
    }

    /**
     * Returns whether the connection has served an earlier call. If so, a call that fails on it may succeed on a new
     * one, as the store may have closed the idle connection.
     */
    boolean isReused() {
        return reused;
    }

    /** Marks the connection as failed and closes it. */
    void markBroken() {
        broken = true;
        abort();
    }

    /** Returns whether a call has failed on the connection. */
    boolean isBroken() {
        return broken;
    }

    /** Returns whether the store has closed the idle connection. */
    boolean isStale() {
        try {
            return !connection.isOpen() || connection.isStale();
        } catch (IOException e) {
            return true;
        }
    }

    /** Closes the connection without waiting for the store. */
    void abort() {
        connection.close(CloseMode.IMMEDIATE);
    }

    private static HttpHost hostOf(String address) {
        int colon = address.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("address is not of the form ADDRESS:PORT: " + address);
        }
        return new HttpHost("http", address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    /**
     * A complete response.
     *
     * @param status the HTTP status
     * @param body the body, empty if there is none
     */
    record StoreResponse(int status, byte[] body) {}
}
