package org.cactusshift.internal.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cactusshift.errors.Failure;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HttpServiceClientTest {
    private static final long TIMEOUT_MILLIS = 10_000;

    /** Shorter than a response of six parts takes, and longer than several parts. */
    private static final long SHORT_TIMEOUT_MILLIS = 500;

    private static final long PART_INTERVAL_MILLIS = 150;

    private static final String RAN = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    private static final String REJECTED = "HTTP/1.1 409 X\r\nContent-Length: 0\r\n\r\n";

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpConnectionPool pool = HttpConnectionPool.create(group, RelayClock.system());
    private final AtomicInteger received = new AtomicInteger();
    private final Set<Socket> ranOn = ConcurrentHashMap.newKeySet();

    @AfterEach
    void endEventLoop() {
        group.shutdownGracefully();
    }

    /** Answers one request on each connection. */
    private void serve(ServerSocket listener) {
        try {
            while (true) {
                try (Socket socket = listener.accept()) {
                    if (socket.getInputStream().read() >= 0) {
                        received.incrementAndGet();
                        socket.getOutputStream()
                                .write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
                                        .getBytes(StandardCharsets.US_ASCII));
                    }
                }
            }
        } catch (IOException e) {
            // The test has closed the listener.
        }
    }

    private Either<Failure, HttpServiceClient.Response> call(int port, boolean mayBeSent) throws Exception {
        HttpServiceClient client = HttpServiceClient.create(pool, (EventLoop) group.next(), "127.0.0.1:" + port);
        CompletableFuture<Either<Failure, HttpServiceClient.Response>> outcome = new CompletableFuture<>();
        group.next()
                .execute(() -> client.callIf(
                        () -> mayBeSent,
                        "order",
                        HttpMethod.POST,
                        "/order",
                        new DefaultHttpHeaders(),
                        new byte[0],
                        TIMEOUT_MILLIS,
                        outcome::complete));
        return outcome.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Guards against an order that is sent after its holder has lost the duty, once a connection is open at last. */
    @Test
    void callWhoseConditionNoLongerHoldsIsNotSent() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
            new Thread(() -> serve(listener), "server").start();
            Either<Failure, HttpServiceClient.Response> refused = call(listener.getLocalPort(), false);
            assertTrue(refused.isLeft());
            assertEquals(Failure.Kind.NO_EFFECT, refused.getLeft().kind());
            assertEquals(0, received.get());
            assertEquals(200, call(listener.getLocalPort(), true).get().status());
            assertEquals(1, received.get());
        }
    }

    /** Answers one request with a body of a stated length, in parts. */
    private void serveSlowly(ServerSocket listener, int length, int parts) {
        try (Socket socket = listener.accept()) {
            socket.getInputStream().read();
            byte[] head =
                    ("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
            socket.getOutputStream().write(head);
            for (int i = 0; i < parts; i++) {
                Thread.sleep(PART_INTERVAL_MILLIS);
                socket.getOutputStream().write('x');
            }
            // Until the client closes the connection.
            while (socket.getInputStream().read() >= 0) {
                Thread.onSpinWait();
            }
        } catch (IOException | InterruptedException e) {
            // The client or the test has closed the connection.
        }
    }

    /**
     * Guards against a node with a slow link that never gets a long response, as each call times out and is repeated;
     * and against a call that waits for ever, as its response goes on without end or stops.
     */
    @ParameterizedTest
    @CsvSource({"6, 6, true", "6, 2, false", "1000000, 40, false"})
    void timeLimitIsExtendedWhileTheResponseArrives(int length, int parts, boolean succeeds) throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
            new Thread(() -> serveSlowly(listener, length, parts), "server").start();
            HttpServiceClient client =
                    HttpServiceClient.create(pool, (EventLoop) group.next(), "127.0.0.1:" + listener.getLocalPort());
            CompletableFuture<Either<Failure, HttpServiceClient.Response>> outcome = new CompletableFuture<>();
            group.next()
                    .execute(() -> client.call(
                            "read",
                            HttpMethod.GET,
                            "/",
                            new DefaultHttpHeaders(),
                            new byte[0],
                            SHORT_TIMEOUT_MILLIS,
                            outcome::complete));
            assertEquals(
                    succeeds, outcome.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).isRight());
        }
    }

    /** Answers a request for {@code /run} twice, the second time where the response to the next request is expected. */
    private void serveTwice(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            byte[] buffer = new byte[4_096];
            for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
                boolean isRun = new String(buffer, 0, length, StandardCharsets.US_ASCII).startsWith("POST /run");
                String own = isRun ? RAN : REJECTED;
                socket.getOutputStream()
                        .write(((ranOn.contains(socket) ? RAN : "") + own).getBytes(StandardCharsets.US_ASCII));
                if (isRun) {
                    ranOn.add(socket);
                }
            }
        } catch (IOException e) {
            // The client has closed the connection.
        }
    }

    private void acceptAll(ServerSocket listener) {
        try {
            while (true) {
                Socket socket = listener.accept();
                received.incrementAndGet();
                new Thread(() -> serveTwice(socket), "connection").start();
            }
        } catch (IOException e) {
            // The test has closed the listener.
        }
    }

    /** Guards against an order that counts as accepted because a run on the same connection was answered twice. */
    @Test
    void secondResponseToARunIsNotTakenForTheResponseToAnOrder() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
            new Thread(() -> acceptAll(listener), "server").start();
            String address = "127.0.0.1:" + listener.getLocalPort();
            EventLoop loop = (EventLoop) group.next();
            assertEquals(200, status(HttpServiceClient.create(pool, loop, address), "/run"));
            HttpServiceClient orders = HttpServiceClient.createForUpstream(pool, loop, address);
            assertEquals(409, status(orders, "/order"));
            assertEquals(409, status(orders, "/order"));
            assertEquals(3, received.get());
        }
    }

    private int status(HttpServiceClient client, String target) throws Exception {
        CompletableFuture<Either<Failure, HttpServiceClient.Response>> outcome = new CompletableFuture<>();
        group.next()
                .execute(() -> client.call(
                        "test",
                        HttpMethod.POST,
                        target,
                        new DefaultHttpHeaders(),
                        new byte[0],
                        TIMEOUT_MILLIS,
                        outcome::complete));
        return outcome.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).get().status();
    }
}
