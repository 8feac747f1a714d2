package org.cactusshift.internal.transport.http;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLSocket;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ConnectionReuseStrategy;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.impl.HttpProcessors;
import org.apache.hc.core5.http.io.HttpServerRequestHandler.ResponseTrigger;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.cactusshift.internal.coordination.DaemonThreads;

/**
 * An HTTP/1.1 server with one thread per connection. It limits the number of connections and sets a deadline on each
 * read from and write to a caller.
 *
 * <p>The settings are read for each accepted connection, so that a new configuration applies from the next connection
 * on.
 */
public final class HttpListener implements Closeable {
    private static final System.Logger LOG = System.getLogger(HttpListener.class.getName());
    private static final String SERVER_NAME = "cactusshift";
    /** How often the accept loop and {@link #stop} check the state of the listener. */
    private static final int POLL_INTERVAL_MILLIS = 50;
    /** The number of connections that the operating system queues before they are accepted. */
    private static final int BACKLOG_CONNECTIONS = 1024;
    /**
     * While stopping, how long at least connections are accepted and how long an idle one stays open, as a request on
     * it may already be in transit.
     */
    private static final long LINGER_MILLIS = 500;

    private static final byte[] CONNECTION_LIMIT_RESPONSE = ("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
                    + "x-cactusshift-outcome: not-run\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            .getBytes(StandardCharsets.US_ASCII);

    private final ServerSocket serverSocket;
    private final Supplier<ListenerSettings> settings;
    private final HttpHandler handler;
    private final Supplier<SSLContext> tlsContextSupplier;
    private final LongSupplier monotonicMillis = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    private final Set<CallerConnection> connections = ConcurrentHashMap.newKeySet();
    private final ScheduledExecutorService scheduler;
    private final ExecutorService connectionExecutor;
    private final DeadlineSweeper sweeper;
    private final CountDownLatch acceptLoopEnded = new CountDownLatch(1);
    private volatile boolean stopping;
    private volatile boolean closed;

    private HttpListener(
            ServerSocket serverSocket,
            Supplier<ListenerSettings> settings,
            HttpHandler handler,
            Supplier<SSLContext> tlsContextSupplier) {
        this.serverSocket = serverSocket;
        this.settings = settings;
        this.handler = handler;
        this.tlsContextSupplier = tlsContextSupplier;
        this.scheduler = Executors.newSingleThreadScheduledExecutor(DaemonThreads.named("http-deadlines"));
        this.connectionExecutor = Executors.newCachedThreadPool(DaemonThreads.named("http-caller"));
        this.sweeper = new DeadlineSweeper(scheduler, monotonicMillis);
    }

    /**
     * Opens a plain-text listener.
     *
     * @param address the address to listen on; port 0 selects a free port
     * @param settings supplies the limits, read for each connection
     * @param handler handles the requests
     * @return the listener, already accepting
     * @throws IOException if the address can't be bound
     */
    public static HttpListener open(InetSocketAddress address, Supplier<ListenerSettings> settings, HttpHandler handler)
            throws IOException {
        return open(address, settings, handler, null);
    }

    /**
     * Opens a listener.
     *
     * @param address the address to listen on; port 0 selects a free port
     * @param settings supplies the limits, read for each connection
     * @param handler handles the requests
     * @param tlsContextSupplier supplies the TLS context, read for each connection so that certificates can be
     *     replaced; null for plain text
     * @return the listener, already accepting
     * @throws IOException if the address can't be bound
     */
    public static HttpListener open(
            InetSocketAddress address,
            Supplier<ListenerSettings> settings,
            HttpHandler handler,
            Supplier<SSLContext> tlsContextSupplier)
            throws IOException {
        ServerSocket serverSocket = new ServerSocket();
        try {
            serverSocket.setReuseAddress(true);
            serverSocket.setSoTimeout(POLL_INTERVAL_MILLIS);
            serverSocket.bind(address, BACKLOG_CONNECTIONS);
        } catch (IOException e) {
            serverSocket.close();
            throw e;
        }
        HttpListener listener = new HttpListener(serverSocket, settings, handler, tlsContextSupplier);
        listener.connectionExecutor.execute(listener::acceptLoop);
        return listener;
    }

    /**
     * Returns the address that the listener is bound to.
     *
     * @return the address with the actual port
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) serverSocket.getLocalSocketAddress();
    }

    /**
     * Returns the number of open connections.
     *
     * @return the number, idle connections included
     */
    public int openConnectionCount() {
        return connections.size();
    }

    /**
     * Returns whether the listener is stopping. From then on each response closes its connection.
     *
     * @return true once {@link #stop} or {@link #close} was called
     */
    public boolean isStopping() {
        return stopping;
    }

    /**
     * Stops gracefully: accepts connections for another 500 ms and on until none arrives within 50 ms, finishes open
     * requests, then closes.
     *
     * @param timeoutMillis the longest wait for new connections and open requests; connections still open after it are
     *     closed
     * @return whether every open request was finished in time
     * @throws InterruptedException if the thread is interrupted; the listener is still to be closed then
     */
    public boolean stop(long timeoutMillis) throws InterruptedException {
        long endMillis = monotonicMillis.getAsLong() + timeoutMillis;
        stopping = true;
        acceptLoopEnded.await(timeoutMillis, TimeUnit.MILLISECONDS);
        while (!connections.isEmpty() && monotonicMillis.getAsLong() < endMillis) {
            connections.forEach(connection -> connection.closeIfIdleFor(LINGER_MILLIS));
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
        boolean finished = connections.isEmpty();
        close();
        return finished;
    }

    @Override
    public void close() {
        stopping = true;
        closed = true;
        try {
            serverSocket.close();
        } catch (IOException e) {
            LOG.log(System.Logger.Level.DEBUG, "closing the listening socket failed", e);
        }
        connections.forEach(CallerConnection::closeImmediately);
        sweeper.close();
        scheduler.shutdownNow();
        connectionExecutor.shutdown();
    }

    private void acceptLoop() {
        long lingerEndMillis = Long.MAX_VALUE;
        try {
            while (!closed) {
                if (stopping && lingerEndMillis == Long.MAX_VALUE) {
                    lingerEndMillis = monotonicMillis.getAsLong() + LINGER_MILLIS;
                }
                boolean accepted = acceptOne();
                if (!accepted && monotonicMillis.getAsLong() >= lingerEndMillis) {
                    break;
                }
            }
            serverSocket.close();
        } catch (IOException e) {
            if (!closed) {
                LOG.log(
                        System.Logger.Level.ERROR,
                        "accepting connections failed; the listener accepts no more connections",
                        e);
            }
        } finally {
            acceptLoopEnded.countDown();
        }
    }

    /** Accepts a connection if one arrives within the poll interval; returns whether one did. */
    private boolean acceptOne() throws IOException {
        Socket socket;
        try {
            socket = serverSocket.accept();
        } catch (SocketTimeoutException e) {
            return false;
        }
        ListenerSettings currentSettings = settings.get();
        if (connections.size() >= currentSettings.maximumConnections()) {
            refuseOverLimit(socket);
            return true;
        }
        CallerConnection connection = new CallerConnection(socket, currentSettings, monotonicMillis, () -> stopping);
        connections.add(connection);
        sweeper.add(connection);
        connectionExecutor.execute(() -> serve(connection, socket, currentSettings));
        return true;
    }

    private void refuseOverLimit(Socket socket) {
        try (socket) {
            // With TLS, no response can be sent before the handshake.
            if (tlsContextSupplier == null) {
                socket.getOutputStream().write(CONNECTION_LIMIT_RESPONSE);
                socket.shutdownOutput();
            }
        } catch (IOException e) {
            LOG.log(System.Logger.Level.DEBUG, "could not send 503 to a caller above the connection limit", e);
        }
    }

    private void serve(CallerConnection connection, Socket socket, ListenerSettings currentSettings) {
        try {
            socket.setTcpNoDelay(true);
            connection.bindTo(wrapInTls(socket));
            JsonErrorHttpService service = createService(connection, currentSettings);
            while (connection.isOpen() && !closed) {
                service.handleRequest(connection, HttpCoreContext.create());
                connection.markIdle();
            }
        } catch (IOException | HttpException e) {
            LOG.log(System.Logger.Level.DEBUG, "connection to a caller closed: {0}", e.toString());
        } catch (RuntimeException e) {
            LOG.log(
                    System.Logger.Level.ERROR,
                    "request failed with an unexpected exception; closing its connection",
                    e);
        } finally {
            connections.remove(connection);
            sweeper.remove(connection);
            connection.closeImmediately();
        }
    }

    private Socket wrapInTls(Socket socket) throws IOException {
        if (tlsContextSupplier == null) {
            return socket;
        }
        SSLSocket tlsSocket = (SSLSocket) tlsContextSupplier
                .get()
                .getSocketFactory()
                .createSocket(socket, socket.getInetAddress().getHostAddress(), socket.getPort(), true);
        tlsSocket.setUseClientMode(false);
        tlsSocket.startHandshake();
        return tlsSocket;
    }

    private JsonErrorHttpService createService(CallerConnection connection, ListenerSettings currentSettings) {
        ConnectionReuseStrategy reuseStrategy = (request, response, context) ->
                !stopping && DefaultConnectionReuseStrategy.INSTANCE.keepAlive(request, response, context);
        RequestReader reader = new RequestReader(currentSettings);
        return new JsonErrorHttpService(
                HttpProcessors.server(SERVER_NAME),
                (request, trigger, context) -> handle(request, trigger, reader, connection),
                reuseStrategy);
    }

    private void handle(
            ClassicHttpRequest request, ResponseTrigger trigger, RequestReader reader, CallerConnection connection)
            throws HttpException, IOException {
        connection.markHeadersComplete();
        reader.checkHeaders(request);
        byte[] body = reader.readBody(request, trigger);
        connection.markRequestComplete();
        handler.handle(new HttpExchange(request, body, trigger, connection));
    }
}
