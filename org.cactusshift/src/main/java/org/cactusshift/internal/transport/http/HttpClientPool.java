package org.cactusshift.internal.transport.http;

import io.vavr.control.Either;
import java.io.Closeable;
import java.io.IOException;
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
import org.cactusshift.internal.transport.http.UpstreamException.Loss;

/**
 * Connections to upstreams, kept for use again only after complete exchanges.
 *
 * <p>A failure tells strictly whether the request may have reached the upstream: it is {@link Loss#NOT_SENT} only when
 * no byte was handed to the system. Safe for use by several threads.
 */
public final class HttpClientPool implements Closeable {
    private static final long SWEEP_MILLIS = 1000;

    private final Supplier<HttpClientSettings> settings;
    private final LongSupplier clockMillis;
    private final DeadlineSweeper sweeper;
    private final ScheduledFuture<?> expiry;
    private final Map<String, Deque<UpstreamConnection>> idle = new HashMap<>();
    private final Map<String, Integer> leased = new HashMap<>();
    private boolean closed;

    private HttpClientPool(
            Supplier<HttpClientSettings> settings, LongSupplier clockMillis, ScheduledExecutorService scheduler) {
        this.settings = settings;
        this.clockMillis = clockMillis;
        this.sweeper = new DeadlineSweeper(scheduler, clockMillis);
        this.expiry = scheduler.scheduleWithFixedDelay(this::expire, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Creates an empty pool.
     *
     * @param settings the limits, asked for at each exchange
     * @param clockMillis a monotonic clock, in milliseconds
     * @param scheduler runs the deadlines
     * @return the pool
     */
    public static HttpClientPool create(
            Supplier<HttpClientSettings> settings, LongSupplier clockMillis, ScheduledExecutorService scheduler) {
        return new HttpClientPool(settings, clockMillis, scheduler);
    }

    /**
     * Sends a request and waits for the headers of the answer, with the pool's progress timeout.
     *
     * @param address the upstream, as {@code ADDRESS:PORT}
     * @param request the request with its whole entity
     * @param observer is asked while the answer arrives
     * @return the answer, to be closed by the caller; or how the exchange was lost
     */
    public Either<UpstreamException, UpstreamExchange> send(
            String address, ClassicHttpRequest request, CancellationCheck observer) {
        return send(address, request, observer, settings.get().progressTimeoutMillis());
    }

    /**
     * Sends a request and waits for the headers of the answer.
     *
     * @param address the upstream, as {@code ADDRESS:PORT}
     * @param request the request with its whole entity
     * @param observer is asked while the answer arrives
     * @param progressTimeoutMillis the longest silence of the upstream
     * @return the answer, to be closed by the caller; or how the exchange was lost
     */
    public Either<UpstreamException, UpstreamExchange> send(
            String address, ClassicHttpRequest request, CancellationCheck observer, long progressTimeoutMillis) {
        UpstreamConnection connection;
        try {
            connection = lease(address);
        } catch (UpstreamException e) {
            return Either.left(e);
        }
        connection.beginExchange(progressTimeoutMillis, observer);
        try {
            return Either.right(exchange(connection, address, request));
        } catch (IOException | HttpException e) {
            release(connection, false);
            return Either.left(toUpstreamException(e, connection, "send request"));
        }
    }

    private UpstreamExchange exchange(UpstreamConnection connection, String address, ClassicHttpRequest request)
            throws IOException, HttpException {
        request.setHeader(HttpHeaders.HOST, address);
        setFraming(request);
        connection.sendRequestHeader(request);
        if (request.getEntity() != null) {
            connection.sendRequestEntity(request);
        }
        connection.flush();
        ClassicHttpResponse response = connection.receiveResponseHeader();
        while (response.getCode() < HttpStatus.SC_SUCCESS) {
            response = connection.receiveResponseHeader();
        }
        if (canHaveBody(request, response)) {
            connection.receiveResponseEntity(response);
        }
        return new UpstreamExchange(this, connection, request, response);
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

    static UpstreamException toUpstreamException(Exception cause, UpstreamConnection connection, String step) {
        if (!connection.mayHaveSent()) {
            return UpstreamException.of(Loss.NOT_SENT, step, connection.address(), String.valueOf(cause.getMessage()));
        }
        if (cause instanceof UpstreamException) {
            return (UpstreamException) cause;
        }
        return UpstreamException.of(Loss.CLOSED, step, connection.address(), String.valueOf(cause.getMessage()));
    }

    private UpstreamConnection lease(String address) throws UpstreamException {
        reserve(address);
        UpstreamConnection reused = takeIdle(address);
        while (reused != null) {
            if (reused.isUsable()) {
                return reused;
            }
            discard(reused);
            reused = takeIdle(address);
        }
        Socket socket = new Socket();
        try {
            socket.connect(resolve(address), (int) settings.get().connectTimeoutMillis());
            UpstreamConnection opened = UpstreamConnection.create(socket, address, clockMillis);
            sweeper.add(opened);
            return opened;
        } catch (IOException | IllegalArgumentException e) {
            unreserve(address);
            closeQuietly(socket);
            throw UpstreamException.of(Loss.NOT_SENT, "connect", address, String.valueOf(e.getMessage()));
        }
    }

    private static InetSocketAddress resolve(String address) {
        int colon = address.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException("not ADDRESS:PORT: " + address);
        }
        String host = address.substring(0, colon).replace("[", "").replace("]", "");
        return new InetSocketAddress(host, Integer.parseInt(address.substring(colon + 1)));
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // Nothing was sent on it.
        }
    }

    private synchronized void reserve(String address) throws UpstreamException {
        int count = leased.getOrDefault(address, 0);
        if (closed || count >= settings.get().maximumConnectionsPerUpstream()) {
            throw UpstreamException.of(Loss.NOT_SENT, "connect", address, "the pool of connections is full or closed");
        }
        leased.put(address, count + 1);
    }

    private synchronized void unreserve(String address) {
        leased.computeIfPresent(address, (key, count) -> count > 1 ? count - 1 : null);
    }

    private synchronized UpstreamConnection takeIdle(String address) {
        Deque<UpstreamConnection> connections = idle.get(address);
        return connections == null ? null : connections.pollLast();
    }

    void release(UpstreamConnection connection, boolean reusable) {
        unreserve(connection.address());
        if (reusable && keep(connection)) {
            return;
        }
        discard(connection);
    }

    private synchronized boolean keep(UpstreamConnection connection) {
        if (closed) {
            return false;
        }
        connection.markIdle(clockMillis.getAsLong());
        idle.computeIfAbsent(connection.address(), address -> new ArrayDeque<>())
                .addLast(connection);
        return true;
    }

    private void discard(UpstreamConnection connection) {
        sweeper.remove(connection);
        connection.abort();
    }

    private synchronized void expire() {
        long oldestMillis = clockMillis.getAsLong() - settings.get().idleExpiryMillis();
        for (Deque<UpstreamConnection> connections : idle.values()) {
            while (!connections.isEmpty() && connections.peekFirst().idleSinceMillis() < oldestMillis) {
                discard(connections.pollFirst());
            }
        }
        idle.values().removeIf(Deque::isEmpty);
    }

    /** Closes idle connections and refuses new exchanges; open exchanges go on. */
    @Override
    public synchronized void close() {
        closed = true;
        expiry.cancel(false);
        idle.values().forEach(connections -> connections.forEach(this::discard));
        idle.clear();
    }
}
