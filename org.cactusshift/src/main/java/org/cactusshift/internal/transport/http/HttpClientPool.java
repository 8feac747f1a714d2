package org.cactusshift.internal.transport.http;

import io.vavr.control.Either;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpStatus;
import org.cactusshift.internal.transport.http.HttpExchangeException.Reason;

/**
 * A pool of connections to upstreams. A connection is reused only after a complete exchange.
 *
 * <p>A response answers a request with an id only if it repeats this id and no other, or if it names no request and the
 * connection has carried no other request; such a connection is not reused. Other responses are left out.
 *
 * <p>A failure states whether the request may have reached the upstream: it is {@link Reason#NOT_SENT} only if
 * no byte of the request was written to the socket. Safe for use by several threads.
 */
public final class HttpClientPool implements Closeable {
    private static final System.Logger LOG = System.getLogger(HttpClientPool.class.getName());
    private static final long EXPIRY_INTERVAL_MILLIS = 1000;
    /** More responses to other requests than a server repeats before the own one; it may never end. */
    private static final int MAXIMUM_SKIPPED_RESPONSES = 16;

    /** More interim responses than any server sends before the final one; a server in trouble may never end. */
    private static final int MAXIMUM_INTERIM_RESPONSES = 16;

    private static final long MAXIMUM_SKIPPED_BODY_BYTES = 8L * 1024 * 1024;
    private static final int SKIP_BUFFER_BYTES = 8192;

    private final Supplier<HttpClientSettings> settings;
    private final LongSupplier monotonicMillis;
    private final DeadlineSweeper sweeper;
    private final ScheduledFuture<?> expiryTask;
    private final Map<IdleKey, Deque<UpstreamConnection>> idleByKey = new HashMap<>();
    private final Map<String, Integer> inUseCountByAddress = new HashMap<>();
    private boolean closed;

    /** Requests that name themselves share no connections with requests that don't. */
    private record IdleKey(String address, boolean isNamed) {}

    private HttpClientPool(
            Supplier<HttpClientSettings> settings, LongSupplier monotonicMillis, ScheduledExecutorService scheduler) {
        this.settings = settings;
        this.monotonicMillis = monotonicMillis;
        this.sweeper = new DeadlineSweeper(scheduler, monotonicMillis);
        this.expiryTask = scheduler.scheduleWithFixedDelay(
                this::closeExpired, EXPIRY_INTERVAL_MILLIS, EXPIRY_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Creates an empty pool.
     *
     * @param settings supplies the limits, read for each exchange
     * @param monotonicMillis a monotonic clock, in milliseconds
     * @param scheduler runs the deadline checks and the expiry of idle connections
     * @return the pool
     */
    public static HttpClientPool create(
            Supplier<HttpClientSettings> settings, LongSupplier monotonicMillis, ScheduledExecutorService scheduler) {
        return new HttpClientPool(settings, monotonicMillis, scheduler);
    }

    /**
     * Sends a request and waits for the response headers, with the progress timeout from the settings.
     *
     * @param address the upstream, as {@code ADDRESS:PORT}
     * @param request the request; the length of its entity, if there is one, must be known
     * @param responseNeededCheck is polled while the response is pending
     * @return the exchange, to be closed by the calling code; or how it failed
     */
    public Either<HttpExchangeException, HttpClientExchange> send(
            String address, ClassicHttpRequest request, ResponseNeededCheck responseNeededCheck) {
        return send(address, request, responseNeededCheck, settings.get().progressTimeoutMillis());
    }

    /**
     * Sends a request and waits for the response headers.
     *
     * @param address the upstream, as {@code ADDRESS:PORT}
     * @param request the request; the length of its entity, if there is one, must be known
     * @param responseNeededCheck is polled while the response is pending
     * @param progressTimeoutMillis the longest time without progress of the upstream
     * @return the exchange, to be closed by the calling code; or how it failed
     */
    public Either<HttpExchangeException, HttpClientExchange> send(
            String address,
            ClassicHttpRequest request,
            ResponseNeededCheck responseNeededCheck,
            long progressTimeoutMillis) {
        RequestName name = RequestName.of(request);
        UpstreamConnection connection;
        try {
            connection = acquire(new IdleKey(address, name.isPresent()));
        } catch (HttpExchangeException e) {
            return Either.left(e);
        }
        connection.beginExchange(progressTimeoutMillis, responseNeededCheck);
        try {
            return Either.right(exchange(connection, address, request, name));
        } catch (IOException | HttpException e) {
            release(connection, name.isPresent(), false);
            return Either.left(toHttpExchangeException(e, connection, "send request"));
        }
    }

    private HttpClientExchange exchange(
            UpstreamConnection connection, String address, ClassicHttpRequest request, RequestName name)
            throws IOException, HttpException {
        request.setHeader(HttpHeaders.HOST, address);
        setFraming(request);
        connection.sendRequestHeader(request);
        if (request.getEntity() != null) {
            connection.sendRequestEntity(request);
        }
        connection.flush();
        ClassicHttpResponse response = receiveResponse(connection, request, name);
        if (canHaveBody(request, response)) {
            connection.receiveResponseEntity(response);
        }
        return new HttpClientExchange(this, connection, request, response);
    }

    /** Receives the head of the response to the request; leaves out responses to other requests. */
    private static ClassicHttpResponse receiveResponse(
            UpstreamConnection connection, ClassicHttpRequest request, RequestName name)
            throws IOException, HttpException {
        ClassicHttpResponse response = receiveFinalHead(connection);
        for (int skipped = 0; skipped < MAXIMUM_SKIPPED_RESPONSES; skipped++) {
            RequestName.Match match = name.match(response);
            if (match == RequestName.Match.SAME) {
                return response;
            }
            connection.markNotReusable();
            if (match == RequestName.Match.UNNAMED && connection.isFirstExchange() && skipped == 0) {
                return response;
            }
            if (skipped == 0) {
                LOG.log(
                        System.Logger.Level.WARNING,
                        "{0} sent a response that does not name {1} ({2}); its connection will be closed",
                        connection.address(),
                        name,
                        match);
            }
            skip(connection, request, response);
            response = receiveFinalHead(connection);
        }
        throw unmatched(connection, "the server sent too many responses to other requests");
    }

    private static ClassicHttpResponse receiveFinalHead(UpstreamConnection connection)
            throws IOException, HttpException {
        ClassicHttpResponse response = connection.receiveResponseHeader();
        for (int interim = 0; response.getCode() < HttpStatus.SC_SUCCESS; interim++) {
            if (interim == MAXIMUM_INTERIM_RESPONSES) {
                throw HttpExchangeException.of(
                        Reason.CLOSED,
                        "await response",
                        connection.address(),
                        "more than " + MAXIMUM_INTERIM_RESPONSES + " interim responses");
            }
            response = connection.receiveResponseHeader();
        }
        return response;
    }

    /** Reads the body of a response to another request; fails where its end can't be known. */
    private static void skip(UpstreamConnection connection, ClassicHttpRequest request, ClassicHttpResponse response)
            throws IOException, HttpException {
        boolean isFramed = response.containsHeader(HttpHeaders.CONTENT_LENGTH)
                || response.containsHeader(HttpHeaders.TRANSFER_ENCODING);
        // A response to another method than HEAD has a body, which its head doesn't show.
        if ("HEAD".equals(request.getMethod()) || canHaveBody(request, response) && !isFramed) {
            throw unmatched(connection, "the server responded to another request");
        }
        if (!canHaveBody(request, response)) {
            return;
        }
        connection.receiveResponseEntity(response);
        InputStream content = response.getEntity().getContent();
        byte[] buffer = new byte[SKIP_BUFFER_BYTES];
        long skippedBytes = 0;
        int count = content.read(buffer);
        while (count >= 0 && skippedBytes <= MAXIMUM_SKIPPED_BODY_BYTES) {
            skippedBytes += count;
            count = content.read(buffer);
        }
        if (count >= 0) {
            throw unmatched(connection, "the server sent a long response to another request");
        }
    }

    private static HttpExchangeException unmatched(UpstreamConnection connection, String message) {
        return HttpExchangeException.of(Reason.UNMATCHED, "await response", connection.address(), message);
    }

    private static void setFraming(ClassicHttpRequest request) {
        if (request.getEntity() != null) {
            request.setHeader(HttpHeaders.CONTENT_LENGTH, request.getEntity().getContentLength());
            if (!request.containsHeader(HttpHeaders.CONTENT_TYPE)
                    && request.getEntity().getContentType() != null) {
                request.setHeader(HttpHeaders.CONTENT_TYPE, request.getEntity().getContentType());
            }
        }
    }

    private static boolean canHaveBody(ClassicHttpRequest request, ClassicHttpResponse response) {
        return !"HEAD".equals(request.getMethod())
                && response.getCode() != HttpStatus.SC_NO_CONTENT
                && response.getCode() != HttpStatus.SC_NOT_MODIFIED;
    }

    static HttpExchangeException toHttpExchangeException(Exception cause, UpstreamConnection connection, String step) {
        if (!connection.mayHaveSent()) {
            return HttpExchangeException.of(
                    Reason.NOT_SENT, step, connection.address(), String.valueOf(cause.getMessage()));
        }
        if (cause instanceof HttpExchangeException) {
            return (HttpExchangeException) cause;
        }
        return HttpExchangeException.of(Reason.CLOSED, step, connection.address(), String.valueOf(cause.getMessage()));
    }

    private UpstreamConnection acquire(IdleKey key) throws HttpExchangeException {
        String address = key.address();
        reserve(address);
        UpstreamConnection reused = pollIdle(key);
        while (reused != null) {
            if (reused.isUsable()) {
                return reused;
            }
            discard(reused);
            reused = pollIdle(key);
        }
        Socket socket = new Socket();
        try {
            socket.connect(parseAddress(address), (int) settings.get().connectTimeoutMillis());
            UpstreamConnection opened = UpstreamConnection.create(socket, address, monotonicMillis);
            sweeper.add(opened);
            return opened;
        } catch (IOException | IllegalArgumentException e) {
            unreserve(address);
            closeQuietly(socket);
            throw HttpExchangeException.of(Reason.NOT_SENT, "connect", address, String.valueOf(e.getMessage()));
        }
    }

    private static InetSocketAddress parseAddress(String address) {
        int colon = address.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException("address is not of the form ADDRESS:PORT: " + address);
        }
        String host = address.substring(0, colon).replace("[", "").replace("]", "");
        return new InetSocketAddress(host, Integer.parseInt(address.substring(colon + 1)));
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // Nothing was sent on the socket, so a failed close needs no handling.
        }
    }

    /** Counts a connection to the address as in use, or fails at the limit. */
    private synchronized void reserve(String address) throws HttpExchangeException {
        int count = inUseCountByAddress.getOrDefault(address, 0);
        if (closed || count >= settings.get().maximumConnectionsPerUpstream()) {
            throw HttpExchangeException.of(
                    Reason.NOT_SENT,
                    "connect",
                    address,
                    "the connection pool is closed, or all connections to the upstream are in use");
        }
        inUseCountByAddress.put(address, count + 1);
    }

    private synchronized void unreserve(String address) {
        inUseCountByAddress.computeIfPresent(address, (key, count) -> count > 1 ? count - 1 : null);
    }

    private synchronized UpstreamConnection pollIdle(IdleKey key) {
        Deque<UpstreamConnection> connections = idleByKey.get(key);
        return connections == null ? null : connections.pollLast();
    }

    void release(UpstreamConnection connection, boolean isNamed, boolean reusable) {
        unreserve(connection.address());
        if (reusable && addIdle(connection, isNamed)) {
            return;
        }
        discard(connection);
    }

    private synchronized boolean addIdle(UpstreamConnection connection, boolean isNamed) {
        if (closed) {
            return false;
        }
        connection.markIdle(monotonicMillis.getAsLong());
        idleByKey
                .computeIfAbsent(new IdleKey(connection.address(), isNamed), key -> new ArrayDeque<>())
                .addLast(connection);
        return true;
    }

    private void discard(UpstreamConnection connection) {
        sweeper.remove(connection);
        connection.abort();
    }

    private synchronized void closeExpired() {
        long expiryLimitMillis = monotonicMillis.getAsLong() - settings.get().idleExpiryMillis();
        for (Deque<UpstreamConnection> connections : idleByKey.values()) {
            while (!connections.isEmpty() && connections.peekFirst().idleSinceMillis() < expiryLimitMillis) {
                discard(connections.pollFirst());
            }
        }
        idleByKey.values().removeIf(Deque::isEmpty);
    }

    /** Closes idle connections and rejects new exchanges; open exchanges continue. */
    @Override
    public synchronized void close() {
        closed = true;
        expiryTask.cancel(false);
        idleByKey.values().forEach(connections -> connections.forEach(this::discard));
        idleByKey.clear();
    }
}
