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
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnectionFactory;
import org.apache.hc.core5.http.impl.io.HttpRequestExecutor;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;
import org.cactusshift.internal.protocol.etcd.EtcdRequest;

/** One connection to the key-value service; used by one call at a time. */
final class StoreConnection {
    private static final HttpRequestExecutor EXECUTOR = new HttpRequestExecutor();

    private static final HttpProcessor PROCESSOR = HttpProcessors.client();

    private static final ConnectionReuseStrategy REUSE = DefaultConnectionReuseStrategy.INSTANCE;

    private final HttpHost host;

    private final DefaultBHttpClientConnection connection;

    private boolean reusable;

    private boolean reused;

    private boolean broken;

    private StoreConnection(HttpHost host, DefaultBHttpClientConnection connection) {
        this.host = host;
        this.connection = connection;
    }

    /**
     * Opens a connection; nothing of a call has been sent when this fails.
     *
     * @param address the address as {@code ADDRESS:PORT}
     * @param connectTimeoutMillis the limit, in milliseconds
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
            return new StoreConnection(
                    host, DefaultBHttpClientConnectionFactory.builder().build().createConnection(socket));
        } catch (IOException | RuntimeException e) {
            socket.close();
            throw e;
        }
    }

    /**
     * Sends a request and reads the whole answer.
     *
     * @param request the request
     * @param timeoutMillis the longest silence of the peer, in milliseconds
     * @return the answer
     * @throws IOException if the exchange broke off; the request may have taken effect
     */
    StoreResponse exchange(EtcdRequest request, long timeoutMillis) throws IOException {
        HttpCoreContext context = HttpCoreContext.create();
        try (ClassicHttpResponse response = begin(request, timeoutMillis, context)) {
            byte[] body = EntityUtils.toByteArray(response.getEntity());
            reusable = REUSE.keepAlive(context.getRequest(), response, context);
            return new StoreResponse(response.getCode(), body == null ? new byte[0] : body);
        }
    }

    /**
     * Sends a request and reads the head of the answer.
     *
     * @param request the request
     * @param timeoutMillis the longest silence of the peer, in milliseconds
     * @return the answer, whose body is still to be read
     * @throws IOException if the exchange broke off; the request may have taken effect
     */
    ClassicHttpResponse sendRequest(EtcdRequest request, long timeoutMillis) throws IOException {
        return begin(request, timeoutMillis, HttpCoreContext.create());
    }

    private ClassicHttpResponse begin(EtcdRequest request, long timeoutMillis, HttpCoreContext context)
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
            throw new IOException("malformed answer from " + host.toHostString(), e);
        }
    }

    /** Tells whether the last answer was read to its end and leaves the connection open for another request. */
    boolean isReusable() {
        return reusable;
    }

    /** Notes that the connection has served an earlier call. */
    void markReused() {
        reused = true;
    }

    /** Tells whether the connection has served an earlier call, so that a fresh one may fare better. */
    boolean isReused() {
        return reused;
    }

    /** Closes the connection after a call that broke off. */
    void markBroken() {
        broken = true;
        abort();
    }

    /** Tells whether a call broke off on the connection. */
    boolean isBroken() {
        return broken;
    }

    /** Tells whether the peer has closed an idle connection. */
    boolean isStale() {
        try {
            return !connection.isOpen() || connection.isStale();
        } catch (IOException e) {
            return true;
        }
    }

    /** Closes the connection without waiting for the peer. */
    void abort() {
        connection.close(CloseMode.IMMEDIATE);
    }

    private static HttpHost hostOf(String address) {
        int colon = address.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("not of the form ADDRESS:PORT: " + address);
        }
        return new HttpHost("http", address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    /**
     * A whole answer.
     *
     * @param status the HTTP status
     * @param body the body; empty when there is none
     */
    record StoreResponse(int status, byte[] body) {}
}
