package org.cactusshift.standin;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.EndpointDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.impl.bootstrap.HttpServer;
import org.apache.hc.core5.http.impl.bootstrap.ServerBootstrap;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnectionFactory;
import org.apache.hc.core5.http.io.HttpConnectionFactory;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityTemplate;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.io.CloseMode;

/** The HTTP server of a stand-in: records the received requests and applies the injected faults. */
public final class StandInServer implements StandIn {
    private static final int BACKLOG_CONNECTIONS = 1024;

    private static final long BIND_TIMEOUT_MILLIS = 1000;

    private static final long BIND_RETRY_MILLIS = 10;

    private final StandInHandler handler;

    private final ReceivedLog log = new ReceivedLog();

    private final StandInFaults faults = new StandInFaults(this::stallOpenConnections);

    private final Map<EndpointDetails, DefaultBHttpServerConnection> connections = new IdentityHashMap<>();

    private final Set<DefaultBHttpServerConnection> stalledConnections = new HashSet<>();

    private int port;

    private HttpServer server;

    private long startCount;

    private StandInServer(int port, StandInHandler handler) {
        this.port = port;
        this.handler = handler;
    }

    /**
     * Creates a server that does not listen yet.
     *
     * @param port the port; 0 lets the operating system choose
     * @param handler handles the requests
     * @return the server
     */
    public static StandInServer create(int port, StandInHandler handler) {
        return new StandInServer(port, handler);
    }

    @Override
    public synchronized void start() throws IOException {
        if (server != null) {
            throw new IllegalStateException("the stand-in is listening already");
        }
        startCount++;
        HttpServer created = listen();
        port = created.getLocalPort();
        server = created;
    }

    @Override
    public synchronized String address() {
        if (port == 0) {
            throw new IllegalStateException("the stand-in was never started, so its port is unknown");
        }
        return InetAddress.getLoopbackAddress().getHostAddress() + ":" + port;
    }

    @Override
    public StandInFaults faults() {
        return faults;
    }

    @Override
    public ReceivedLog log() {
        return log;
    }

    @Override
    public synchronized void crash() {
        if (server == null) {
            return;
        }
        HttpServer crashed = server;
        server = null;
        List<DefaultBHttpServerConnection> open = new ArrayList<>(connections.values());
        connections.clear();
        stalledConnections.clear();
        crashed.close(CloseMode.IMMEDIATE);
        open.forEach(connection -> connection.close(CloseMode.IMMEDIATE));
    }

    @Override
    public void close() {
        crash();
    }

    /** Returns whether the latest start accepted a connection and no crash has dropped it since. */
    synchronized boolean belongsToCurrentStart(DefaultBHttpServerConnection connection) {
        return connections.containsKey(connection.getEndpointDetails());
    }

    /** Returns whether the stand-in is paused or a connection is stalled. */
    synchronized boolean isBlocked(DefaultBHttpServerConnection connection) {
        return faults.isPaused() || stalledConnections.contains(connection);
    }

    /** Opens the port; retries while it is in use. */
    private HttpServer listen() throws IOException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(BIND_TIMEOUT_MILLIS);
        while (true) {
            HttpServer created = createServer(startCount);
            try {
                created.start();
                return created;
            } catch (BindException e) {
                if (port == 0 || System.nanoTime() > endNanos) {
                    throw e;
                }
                StandInExchange.sleep(BIND_RETRY_MILLIS);
            }
        }
    }

    private HttpServer createServer(long startNumber) {
        return ServerBootstrap.bootstrap()
                .setLocalAddress(InetAddress.getLoopbackAddress())
                .setListenerPort(port)
                .setServerSocketFactory(ListeningSocket.factory())
                .setSocketConfig(SocketConfig.custom()
                        .setSoReuseAddress(true)
                        .setTcpNoDelay(true)
                        .setBacklogSize(BACKLOG_CONNECTIONS)
                        .build())
                .setConnectionFactory(new TrackingConnectionFactory(startNumber))
                .setRequestRouter((request, context) -> this::handle)
                .create();
    }

    private synchronized void stallOpenConnections() {
        stalledConnections.addAll(connections.values());
    }

    private synchronized DefaultBHttpServerConnection connectionOf(HttpContext context) throws IOException {
        EndpointDetails details = HttpCoreContext.cast(context).getEndpointDetails();
        DefaultBHttpServerConnection connection = connections.get(details);
        if (connection == null) {
            throw new IOException("the stand-in was stopped; the request is dropped");
        }
        return connection;
    }

    private void handle(ClassicHttpRequest incoming, ClassicHttpResponse response, HttpContext context)
            throws HttpException, IOException {
        StandInExchange exchange = new StandInExchange(this, connectionOf(context));
        StandInRequest request = readRequest(incoming, exchange);
        ReceivedRequest received = log.add(request, System.currentTimeMillis());
        exchange.setReceived(received);
        try {
            exchange.awaitUnblocked();
            StandInResponse planned = respondWithFaults(request, received);
            exchange.awaitUnblocked();
            send(planned, request, exchange, response);
        } catch (IOException e) {
            received.recordOutcome(interruptedOutcome());
            throw e;
        }
    }

    private StandInResponse respondWithFaults(StandInRequest request, ReceivedRequest received) throws IOException {
        if (faults.isUnavailable()) {
            received.recordOutcome(ReceivedRequest.Outcome.REFUSED);
            return handler.refuse(request);
        }
        StandInResponse response = handler.handle(request);
        if (faults.delayMillis() > 0) {
            StandInExchange.sleep(faults.delayMillis());
        }
        if (faults.consumeResponseDrop(request)) {
            received.recordOutcome(ReceivedRequest.Outcome.ANSWER_DROPPED);
            throw new IOException("injected fault: the response is dropped and the connection closed");
        }
        if (faults.isFailing()) {
            received.recordOutcome(ReceivedRequest.Outcome.ANSWER_DROPPED);
            return StandInResponse.error(StandInResponse.SERVER_ERROR, "internal_error");
        }
        return response;
    }

    private void send(
            StandInResponse planned, StandInRequest request, StandInExchange exchange, ClassicHttpResponse response) {
        response.setCode(planned.status());
        planned.headers().forEach(response::setHeader);
        if (!request.attemptId().isEmpty() && !planned.headers().containsKey(StandInRequest.ATTEMPT_ID_HEADER)) {
            response.setHeader(StandInRequest.ATTEMPT_ID_HEADER, request.attemptId());
        }
        ContentType type = ContentType.parse(planned.contentType());
        if (planned.writer().isEmpty()) {
            request.recordOutcome(
                    planned.status() < StandInResponse.BAD_REQUEST
                            ? ReceivedRequest.Outcome.ANSWERED
                            : ReceivedRequest.Outcome.REFUSED);
            response.setEntity(new ByteArrayEntity(planned.body(), type));
            return;
        }
        StandInStream.Writer writer = planned.writer().get();
        response.setEntity(new EntityTemplate(type, output -> {
            try {
                writer.write(new StandInStream(output, exchange));
                exchange.recordOutcome(ReceivedRequest.Outcome.ANSWERED);
            } catch (IOException e) {
                exchange.recordOutcome(interruptedOutcome());
                // Only a reset tells the caller that the body is incomplete: closing the stream would end it normally.
                exchange.abort();
                throw e;
            }
        }));
    }

    private synchronized ReceivedRequest.Outcome interruptedOutcome() {
        return server == null ? ReceivedRequest.Outcome.CRASHED : ReceivedRequest.Outcome.CANCELLED;
    }

    private static StandInRequest readRequest(ClassicHttpRequest incoming, StandInExchange exchange)
            throws HttpException, IOException {
        Map<String, String> headers = new TreeMap<>();
        for (Header header : incoming.getHeaders()) {
            headers.merge(header.getName().toLowerCase(Locale.ROOT), header.getValue(), (a, b) -> a + "," + b);
        }
        String body =
                incoming.getEntity() == null ? "" : EntityUtils.toString(incoming.getEntity(), StandardCharsets.UTF_8);
        return new StandInRequest(incoming.getMethod(), incoming.getPath(), headers, body, exchange);
    }

    /** Creates the connections accepted after one start and registers them, so that a crash can reset them. */
    private final class TrackingConnectionFactory implements HttpConnectionFactory<DefaultBHttpServerConnection> {
        private final long startNumber;

        private final DefaultBHttpServerConnectionFactory delegate =
                DefaultBHttpServerConnectionFactory.builder().build();

        TrackingConnectionFactory(long startNumber) {
            this.startNumber = startNumber;
        }

        @Override
        public DefaultBHttpServerConnection createConnection(Socket socket) throws IOException {
            return track(delegate.createConnection(socket));
        }

        @Override
        public DefaultBHttpServerConnection createConnection(javax.net.ssl.SSLSocket secured, Socket socket)
                throws IOException {
            return track(delegate.createConnection(secured, socket));
        }

        private DefaultBHttpServerConnection track(DefaultBHttpServerConnection connection) throws IOException {
            synchronized (StandInServer.this) {
                if (server == null || startNumber != startCount) {
                    // The accepting thread may accept one more connection while a crash closes the socket.
                    connection.close(CloseMode.IMMEDIATE);
                    throw new IOException("the stand-in was stopped; the new connection is closed");
                }
                connections.values().removeIf(tracked -> !tracked.isOpen());
                stalledConnections.removeIf(tracked -> !tracked.isOpen());
                connections.put(connection.getEndpointDetails(), connection);
            }
            return connection;
        }
    }
}
