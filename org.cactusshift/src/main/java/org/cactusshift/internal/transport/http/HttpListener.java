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
 * An HTTP/1.1 server: one thread for each connection, a bound on connections, and a deadline on each wait for the
 * caller.
 *
 * <p>Settings are asked for at each accepted connection, so that a new configuration holds from the next one on.
 */
public final class HttpListener implements Closeable {
    private static final System.Logger LOG = System.getLogger(HttpListener.class.getName());
    private static final String SERVER_NAME = "cactusshift";
    private static final int ACCEPT_SLICE_MILLIS = 50;
    private static final int BACKLOG_CONNECTIONS = 1024;
    /** While stopping, how long a connection without a request stays open for one that is already on its way. */
    private static final long LINGER_MILLIS = 500;

    private static final byte[] FULL_ANSWER = ("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
                    + "x-cactusshift-outcome: not-run\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            .getBytes(StandardCharsets.US_ASCII);

    private final ServerSocket serverSocket;
    private final Supplier<ListenerSettings> settings;
    private final HttpHandler handler;
    private final Supplier<SSLContext> tls;
    private final LongSupplier clockMillis = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    private final Set<CallerConnection> connections = ConcurrentHashMap.newKeySet();
    private final ScheduledExecutorService scheduler;
    private final ExecutorService threads;
    private final DeadlineSweeper sweeper;
    private final CountDownLatch acceptEnded = new CountDownLatch(1);
    private volatile boolean stopping;
    private volatile boolean closed;

    private HttpListener(
            ServerSocket serverSocket,
            Supplier<ListenerSettings> settings,
            HttpHandler handler,
            Supplier<SSLContext> tls) {
        this.serverSocket = serverSocket;
        this.settings = settings;
        this.handler = handler;
        this.tls = tls;
        this.scheduler = Executors.newSingleThreadScheduledExecutor(DaemonThreads.named("http-deadlines"));
        this.threads = Executors.newCachedThreadPool(DaemonThreads.named("http-caller"));
        this.sweeper = new DeadlineSweeper(scheduler, clockMillis);
    }

    /**
     * Opens a plain-text listener.
     *
     * @param address where to listen; port 0 lets the system choose
     * @param settings the limits, asked for at each connection
     * @param handler answers the requests
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
     * @param address where to listen; port 0 lets the system choose
     * @param settings the limits, asked for at each connection
     * @param handler answers the requests
     * @param tls the TLS context, asked for at each connection so that certificates may be replaced; null for plain
     *     text
     * @return the listener, already accepting
     * @throws IOException if the address can't be bound
     */
    public static HttpListener open(
            InetSocketAddress address,
            Supplier<ListenerSettings> settings,
            HttpHandler handler,
            Supplier<SSLContext> tls)
            throws IOException {
        ServerSocket serverSocket = new ServerSocket();
        try {
            serverSocket.setReuseAddress(true);
            serverSocket.setSoTimeout(ACCEPT_SLICE_MILLIS);
            serverSocket.bind(address, BACKLOG_CONNECTIONS);
        } catch (IOException e) {
            serverSocket.close();
            throw e;
        }
        HttpListener listener = new HttpListener(serverSocket, settings, handler, tls);
        listener.threads.execute(listener::acceptLoop);
        return listener;
    }

    /**
     * Returns the address that the listener is bound to.
     *
     * @return the address with the real port
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) serverSocket.getLocalSocketAddress();
    }

    /**
     * Returns the number of open connections.
     *
     * @return the connections, idle ones included
     */
    public int openConnectionCount() {
        return connections.size();
    }

    /**
     * Tells whether a stop has begun, from which on answers end their connections.
     *
     * @return true once {@link #stop} or {@link #close} was called
     */
    public boolean isStopping() {
        return stopping;
    }

    /**
     * Stops gracefully: accepts no more, finishes open requests, then closes. Connections that the system had already
     * accepted are still served.
     *
     * @param limitMillis the longest wait for open requests; what is open after it is cut
     * @return whether every open request was finished in time
     * @throws InterruptedException if the thread is interrupted; the listener goes on stopping and may be closed
     */
    public boolean stop(long limitMillis) throws InterruptedException {
        long endMillis = clockMillis.getAsLong() + limitMillis;
        stopping = true;
        acceptEnded.await(limitMillis, TimeUnit.MILLISECONDS);
        while (!connections.isEmpty() && clockMillis.getAsLong() < endMillis) {
            connections.forEach(connection -> connection.closeIfIdleFor(LINGER_MILLIS));
            Thread.sleep(ACCEPT_SLICE_MILLIS);
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
        threads.shutdown();
    }

    private void acceptLoop() {
        long lingerEndMillis = Long.MAX_VALUE;
        try {
            while (!closed) {
                if (stopping && lingerEndMillis == Long.MAX_VALUE) {
                    lingerEndMillis = clockMillis.getAsLong() + LINGER_MILLIS;
                }
                boolean accepted = acceptOne();
                if (!accepted && clockMillis.getAsLong() >= lingerEndMillis) {
                    break;
                }
            }
            serverSocket.close();
        } catch (IOException e) {
            if (!closed) {
                LOG.log(System.Logger.Level.ERROR, "accepting connections failed", e);
            }
        } finally {
            acceptEnded.countDown();
        }
    }

    private boolean acceptOne() throws IOException {
        Socket socket;
        try {
            socket = serverSocket.accept();
        } catch (SocketTimeoutException e) {
            return false;
        }
        ListenerSettings current = settings.get();
        if (connections.size() >= current.maximumConnections()) {
            refuse(socket);
            return true;
        }
        CallerConnection connection = new CallerConnection(socket, current, clockMillis, () -> stopping);
        connections.add(connection);
        sweeper.add(connection);
        threads.execute(() -> serve(connection, socket, current));
        return true;
    }

    private void refuse(Socket socket) {
        try (socket) {
            if (tls == null) {
                socket.getOutputStream().write(FULL_ANSWER);
                socket.shutdownOutput();
            }
        } catch (IOException e) {
            LOG.log(System.Logger.Level.DEBUG, "refusing a connection over the limit failed", e);
        }
    }

    private void serve(CallerConnection connection, Socket socket, ListenerSettings current) {
        try {
            socket.setTcpNoDelay(true);
            connection.bindTo(layered(socket));
            CallerHttpService service = service(connection, current);
            while (connection.isOpen() && !closed) {
                service.handleRequest(connection, HttpCoreContext.create());
                connection.markIdle();
            }
        } catch (IOException | HttpException e) {
            LOG.log(System.Logger.Level.DEBUG, "a caller's connection ended: {0}", e.toString());
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "a request failed unexpectedly", e);
        } finally {
            connections.remove(connection);
            sweeper.remove(connection);
            connection.closeImmediately();
        }
    }

    private Socket layered(Socket socket) throws IOException {
        if (tls == null) {
            return socket;
        }
        SSLSocket secured = (SSLSocket) tls.get()
                .getSocketFactory()
                .createSocket(socket, socket.getInetAddress().getHostAddress(), socket.getPort(), true);
        secured.setUseClientMode(false);
        secured.startHandshake();
        return secured;
    }

    private CallerHttpService service(CallerConnection connection, ListenerSettings current) {
        ConnectionReuseStrategy reuse = (request, response, context) ->
                !stopping && DefaultConnectionReuseStrategy.INSTANCE.keepAlive(request, response, context);
        RequestReader reader = new RequestReader(current);
        return new CallerHttpService(
                HttpProcessors.server(SERVER_NAME),
                (request, trigger, context) -> handle(request, trigger, reader, connection),
                reuse);
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
