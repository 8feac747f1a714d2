package org.cactusshift.internal.transport.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.transport.http.HttpExchangeException.Reason;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class HttpClientPoolTest {
    // connect and progress timeouts in ms; connections to an upstream; idle expiry in ms
    private static final HttpClientSettings SETTINGS = new HttpClientSettings(500, 300, 2, 60_000);

    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
    private final HttpClientPool pool =
            HttpClientPool.create(() -> SETTINGS, () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()), scheduler);

    @AfterEach
    void closePool() {
        pool.close();
        scheduler.shutdownNow();
    }

    private static ClassicHttpRequest request() {
        ClassicHttpRequest request = new BasicClassicHttpRequest("POST", "/x");
        request.setEntity(new ByteArrayEntity("body".getBytes(StandardCharsets.UTF_8), ContentType.TEXT_PLAIN));
        return request;
    }

    private Either<HttpExchangeException, HttpClientExchange> send(String address) {
        return pool.send(address, request(), ResponseNeededCheck.ALWAYS_NEEDED);
    }

    private void exchange(String address) throws IOException {
        try (HttpClientExchange exchange = send(address).get()) {
            assertEquals("hello", new String(exchange.readAll(100), StandardCharsets.UTF_8));
        }
    }

    @Test
    void reusesAConnectionAfterACompleteExchange() throws Exception {
        try (ScriptedServer server =
                ScriptedServer.start((request, socket, out) -> ScriptedServer.writeResponse(out, 200, "", "hello"))) {
            exchange(server.address());
            exchange(server.address());
            assertEquals(1, server.connectionCount());
            assertEquals("body", server.receivedRequests().get(1).body());
        }
    }

    private static final long RESPONSE_TIMEOUT_MILLIS = 10_000;

    /** The reason why the connection of an exchange must not be reused. */
    enum NonReusableReason {
        ABORTED,
        UNREAD,
        CONNECTION_CLOSE_HEADER,
        EXTRA_BYTES,
        EXTRA_BYTES_WITH_RESPONSE
    }

    @ParameterizedTest
    @EnumSource(NonReusableReason.class)
    void neverReusesAConnectionThatMustNotBeReused(NonReusableReason reason) throws Exception {
        String headers = reason == NonReusableReason.CONNECTION_CLOSE_HEADER ? "Connection: close\r\n" : "";
        CountDownLatch responded = new CountDownLatch(1);
        try (ScriptedServer server = ScriptedServer.start((request, socket, out) -> {
            ByteArrayOutputStream combined = new ByteArrayOutputStream();
            ScriptedServer.writeResponse(
                    reason == NonReusableReason.EXTRA_BYTES_WITH_RESPONSE ? combined : out, 200, headers, "hello");
            if (reason == NonReusableReason.EXTRA_BYTES_WITH_RESPONSE) {
                ScriptedServer.writeResponse(combined, 200, "", "stray");
                out.write(combined.toByteArray());
                out.flush();
            }
            if (reason == NonReusableReason.EXTRA_BYTES) {
                ScriptedServer.writeResponse(out, 200, "", "stray");
            }
            responded.countDown();
        })) {
            HttpClientExchange exchange = send(server.address()).get();
            assertTrue(responded.await(RESPONSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            if (reason != NonReusableReason.UNREAD) {
                exchange.readAll(100);
            }
            if (reason == NonReusableReason.ABORTED) {
                exchange.abort();
            }
            exchange.close();
            exchange(server.address());
            assertEquals(2, server.connectionCount());
        }
    }

    @Test
    void opensAnotherConnectionWhenThePooledOneWasClosed() throws Exception {
        try (ScriptedServer server = ScriptedServer.start((request, socket, out) -> {
            ScriptedServer.writeResponse(out, 200, "", "hello");
            socket.close();
        })) {
            exchange(server.address());
            exchange(server.address());
            assertEquals(2, server.connectionCount());
        }
    }

    /** Guards against an undefined status that is passed on, and a connection that stays counted as used. */
    @ParameterizedTest
    @ValueSource(strings = {"000", "000 X", "099 X", "600 X", "999 X", "101 X\r\nUpgrade: x"})
    void failsAtAnInvalidStatus(String start) throws Exception {
        try (ScriptedServer server = ScriptedServer.start((request, socket, out) -> {
            out.write(("HTTP/1.1 " + start + "\r\nContent-Length: 4\r\n\r\nfull").getBytes(StandardCharsets.US_ASCII));
            socket.shutdownOutput();
        })) {
            for (int i = 0; i < 3; i++) {
                HttpExchangeException failure = send(server.address()).getLeft();
                assertEquals(Failure.Kind.UNKNOWN_EFFECT, failure.failure().kind());
            }
        }
    }

    /** Guards against a body that is passed on in a coding that its head no longer names, or with another end. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "gzip\r\n\r\nfull",
                "identity\r\n\r\nfull",
                "gzip\r\nContent-Length: 4\r\n\r\nfull",
                "gzip, chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n",
                "chunked, chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n",
                "chunked\r\nTransfer-Encoding: gzip\r\n\r\n4\r\nfull\r\n0\r\n\r\n",
                "chunked\r\nContent-Length: 9\r\n\r\n4\r\nfull\r\n0\r\n\r\n"
            })
    void failsAtAnotherTransferCoding(String rest) throws Exception {
        try (ScriptedServer server = ScriptedServer.start((request, socket, out) -> {
            out.write(("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + rest).getBytes(StandardCharsets.US_ASCII));
            socket.shutdownOutput();
        })) {
            for (int i = 0; i < 3; i++) {
                HttpExchangeException failure = send(server.address()).getLeft();
                assertEquals(Failure.Kind.UNKNOWN_EFFECT, failure.failure().kind());
            }
        }
    }

    @Test
    void reportsNotSentWhenTheConnectionIsRefused() throws Exception {
        String address;
        try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = "127.0.0.1:" + closed.getLocalPort();
        }
        HttpExchangeException failure = send(address).getLeft();
        assertEquals(Reason.NOT_SENT, failure.reason());
        assertEquals(Failure.Kind.NO_EFFECT, failure.failure().kind());
    }

    /** How an upstream fails after it has received a request. */
    enum Fault {
        CLOSE,
        GARBAGE,
        HALF_HEADERS,
        NO_RESPONSE
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void reportsUnknownEffectWhenTheUpstreamFailsAfterTheRequest(Fault fault) throws Exception {
        try (ScriptedServer server = ScriptedServer.start((request, socket, out) -> fail(fault, socket, out))) {
            HttpExchangeException failure = send(server.address()).getLeft();
            assertEquals(fault == Fault.NO_RESPONSE ? Reason.SILENT : Reason.CLOSED, failure.reason());
            assertEquals(Failure.Kind.UNKNOWN_EFFECT, failure.failure().kind());
        }
    }

    private static void fail(Fault fault, Socket socket, OutputStream out) throws IOException {
        switch (fault) {
            case GARBAGE -> out.write("garbage garbage\r\n\r\n".repeat(100).getBytes(StandardCharsets.US_ASCII));
            case HALF_HEADERS -> out.write("HTTP/1.1 200 OK\r\nContent-".getBytes(StandardCharsets.US_ASCII));
            default -> out.flush();
        }
        if (fault != Fault.NO_RESPONSE) {
            socket.close();
        }
    }

    @Test
    void detectsATruncatedBody() throws Exception {
        try (ScriptedServer server = ScriptedServer.start((request, socket, out) -> {
            out.write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf".getBytes(StandardCharsets.US_ASCII));
            socket.close();
        })) {
            try (HttpClientExchange exchange = send(server.address()).get()) {
                HttpExchangeException failure = assertThrows(HttpExchangeException.class, () -> exchange.readAll(100));
                assertEquals(Reason.CLOSED, failure.reason());
            }
        }
    }

    @Test
    void abandonsAnExchangeWhoseResponseIsNotNeeded() throws Exception {
        try (ScriptedServer server = ScriptedServer.start((request, socket, out) -> {})) {
            HttpExchangeException failure =
                    pool.send(server.address(), request(), () -> false, 60_000).getLeft();
            assertEquals(Reason.ABANDONED, failure.reason());
        }
    }

    @Test
    void closesAConnectionToAnUpstreamThatDoesNotRead() throws Exception {
        try (ServerSocket unreadSocket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            ClassicHttpRequest large = new BasicClassicHttpRequest("POST", "/x");
            large.setEntity(new ByteArrayEntity(new byte[32 * 1024 * 1024], ContentType.TEXT_PLAIN));
            HttpExchangeException failure = pool.send(
                            "127.0.0.1:" + unreadSocket.getLocalPort(), large, ResponseNeededCheck.ALWAYS_NEEDED)
                    .getLeft();
            assertEquals(Reason.CLOSED, failure.reason());
        }
    }

    @Test
    void failsWithNotSentWhenAllConnectionsAreInUse() throws Exception {
        try (ScriptedServer server =
                ScriptedServer.start((request, socket, out) -> ScriptedServer.writeResponse(out, 200, "", "hello"))) {
            HttpClientExchange first = send(server.address()).get();
            HttpClientExchange second = send(server.address()).get();
            assertEquals(Reason.NOT_SENT, send(server.address()).getLeft().reason());
            first.close();
            assertTrue(send(server.address()).isRight());
            second.close();
        }
    }
}
