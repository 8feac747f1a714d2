package org.cactusshift.internal.transport.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.EntityTemplate;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class HttpListenerTest {
    // header bytes, body bytes, connections; header, write and keep-alive timeouts in ms
    private static final ListenerSettings SETTINGS = new ListenerSettings(2048, 1000, 8, 300, 300, 5000);
    private static final String GET = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
    private static final long TIMEOUT_MILLIS = 10_000;

    private static HttpListener open(HttpHandler handler) throws IOException {
        return open(SETTINGS, handler);
    }

    private static HttpListener open(ListenerSettings settings, HttpHandler handler) throws IOException {
        return HttpListener.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), () -> settings, handler);
    }

    private static void echo(HttpExchange exchange) throws IOException, org.apache.hc.core5.http.HttpException {
        exchange.submit(HttpResponses.of(200, ContentType.TEXT_PLAIN, exchange.body()));
    }

    private static void assertStillServes(HttpListener listener) throws IOException {
        try (RawClient client = RawClient.connect(listener.address())) {
            assertTrue(client.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok")
                    .readUntil("\r\n\r\nok")
                    .startsWith("HTTP/1.1 200"));
        }
    }

    @ParameterizedTest
    @CsvSource({"0,200", "1000,200", "1001,413", "900000,413"})
    void refusesABodyOverTheLimitWith413(int length, int status) throws Exception {
        try (HttpListener listener = open(HttpListenerTest::echo);
                RawClient client = RawClient.connect(listener.address())) {
            client.send("POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: " + length + "\r\n\r\n"
                    + "a".repeat(length));
            assertTrue(client.readToEnd().startsWith("HTTP/1.1 " + status));
        }
    }

    @ParameterizedTest
    @CsvSource({"1000,200", "1001,413", "50000,413"})
    void refusesAChunkedBodyOverTheLimitWith413(int length, int status) throws Exception {
        try (HttpListener listener = open(HttpListenerTest::echo);
                RawClient client = RawClient.connect(listener.address())) {
            client.send("POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + Integer.toHexString(length) + "\r\n" + "a".repeat(length) + "\r\n0\r\n\r\n");
            assertTrue(client.readToEnd().startsWith("HTTP/1.1 " + status));
        }
    }

    @Test
    void sendsContinueOnlyWhenTheBodyIsWithinTheLimit() throws Exception {
        try (HttpListener listener = open(HttpListenerTest::echo);
                RawClient fits = RawClient.connect(listener.address());
                RawClient tooLarge = RawClient.connect(listener.address())) {
            String head = "POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: ";
            assertTrue(fits.send(head + "2\r\n\r\n").readUntil("\r\n\r\n").startsWith("HTTP/1.1 100"));
            assertTrue(fits.send("ok").readUntil("\r\n\r\nok").startsWith("HTTP/1.1 200"));
            assertTrue(tooLarge.send(head + "99999\r\n\r\n").readToEnd().startsWith("HTTP/1.1 413"));
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "GET /x HTTP/1.1\r\nHost: h\r\nA: %1$s\r\n\r\n",
                "GET /%1$s HTTP/1.1\r\nHost: h\r\n\r\n",
                "GET /x HTTP/1.1\r\nHost: h\r\n%2$s\r\n",
                "GET /x HTTP/1.1\r\nHost: h\r\n%3$s\r\n"
            })
    void refusesAHeaderSectionOverTheLimit(String template) throws Exception {
        // %1$s is a long text, %2$s too many headers, %3$s many header bytes.
        String request =
                String.format(template, "a".repeat(3000), "A: b\r\n".repeat(150), "A: bbbbbbbbb\r\n".repeat(20_000));
        try (HttpListener listener = open(HttpListenerTest::echo);
                RawClient client = RawClient.connect(listener.address())) {
            String response;
            try {
                response = client.send(request).readToEnd();
            } catch (IOException e) {
                response = "";
            }
            // Empty if the listener resets the connection before the client has read the response.
            assertTrue(response.isEmpty() || response.startsWith("HTTP/1.1 431"), response);
            assertStillServes(listener);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "nonsense\r\n\r\n",
                "GET\r\n\r\n",
                "GET /x HTTP/9.9\r\nHost: h\r\n\r\n",
                "GET /x HTTP/1.1\r\nno colon\r\n\r\n",
                "GET /x HTTP/1.1\r\n\r\n",
                "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
                "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
                "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\nabc",
                "POST /x HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"
            })
    void refusesMalformedRequests(String request) throws Exception {
        try (HttpListener listener = open(HttpListenerTest::echo);
                RawClient client = RawClient.connect(listener.address())) {
            String response = client.send(request).readToEnd();
            assertTrue(response.isEmpty() || response.matches("(?s)HTTP/1.1 (4|50[15]).*"), response);
            assertFalse(response.contains("HTTP/1.1 200"));
            assertStillServes(listener);
        }
    }

    /** Guards against a body that is taken for a request. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "gzip",
                "identity",
                "xchunked",
                "",
                "chunked, gzip",
                "chunked, chunked",
                "chunked\r\nTransfer-Encoding: identity",
                "chunked;a=b",
                "gzip, chunked",
                "gzip\r\nTransfer-Encoding: chunked"
            })
    void refusesOtherTransferCodings(String coding) throws Exception {
        AtomicInteger handled = new AtomicInteger();
        try (HttpListener listener = open(exchange -> handled.incrementAndGet());
                RawClient client = RawClient.connect(listener.address())) {
            String inner = "POST /inner HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
            String response = client.send(
                            "POST /outer HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: " + coding + "\r\n\r\n" + inner)
                    .readToEnd();
            assertTrue(response.isEmpty() || response.matches("(?s)HTTP/1.1 (400|501).*"), response);
            assertEquals(0, handled.get());
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "GET /x HTTP/1.1\r\nHost: h\r\nA: ",
                "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 500\r\n\r\n",
                ""
            })
    void closesAConnectionThatSendsTooSlowly(String start) throws Exception {
        CountDownLatch handled = new CountDownLatch(1);
        try (HttpListener listener = open(exchange -> handled.countDown());
                RawClient client = RawClient.connect(listener.address())) {
            client.send(start);
            boolean closed = false;
            long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
            while (!closed && System.nanoTime() < endNanos) {
                try {
                    client.send("a");
                    Thread.sleep(20);
                } catch (IOException e) {
                    closed = true;
                }
            }
            assertTrue(closed);
            assertEquals(1, handled.getCount());
        }
    }

    @Test
    void closesAConnectionWhoseCallerStopsReading() throws Exception {
        CompletableFuture<Exception> failure = new CompletableFuture<>();
        HttpHandler endless = exchange -> {
            ClassicHttpResponse response = new BasicClassicHttpResponse(200);
            response.setEntity(new EntityTemplate(ContentType.TEXT_PLAIN, out -> {
                byte[] block = new byte[64 * 1024];
                while (true) {
                    out.write(block);
                    out.flush();
                }
            }));
            try {
                exchange.submit(response);
            } catch (IOException e) {
                failure.complete(e);
                throw e;
            }
        };
        try (HttpListener listener = open(endless);
                RawClient client = RawClient.connect(listener.address())) {
            client.send(GET);
            assertTrue(failure.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS) instanceof IOException);
        }
    }

    @Test
    void refusesConnectionsOverTheLimit() throws Exception {
        ListenerSettings one = new ListenerSettings(2048, 1000, 1, 5000, 300, 5000);
        try (HttpListener listener = open(one, HttpListenerTest::echo);
                RawClient first = RawClient.connect(listener.address())) {
            first.send(GET).readUntil("\r\n\r\n");
            try (RawClient second = RawClient.connect(listener.address())) {
                String response = second.readToEnd();
                assertTrue(response.startsWith("HTTP/1.1 503"), response);
                assertTrue(response.contains("x-cactusshift-outcome: not-run"), response);
            }
            assertTrue(first.send(GET).readUntil("\r\n\r\n").startsWith("HTTP/1.1 200"));
        }
    }

    @Test
    void detectsThatTheCallerHasDisconnected() throws Exception {
        CompletableFuture<Boolean> detected = new CompletableFuture<>();
        CountDownLatch entered = new CountDownLatch(1);
        HttpHandler watching = exchange -> {
            boolean goneInitially = exchange.isCallerDisconnected();
            entered.countDown();
            long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
            while (!exchange.isCallerDisconnected() && System.nanoTime() < endNanos) {
                Thread.onSpinWait();
            }
            detected.complete(!goneInitially && exchange.isCallerDisconnected());
        };
        try (HttpListener listener = open(watching)) {
            try (RawClient client = RawClient.connect(listener.address())) {
                client.send(GET);
                assertTrue(entered.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            }
            assertTrue(detected.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        }
    }

    @Test
    void finishesOpenRequestsWhenStopped() throws Exception {
        CountDownLatch entered = new CountDownLatch(2);
        CountDownLatch release = new CountDownLatch(1);
        HttpHandler held = exchange -> {
            entered.countDown();
            try {
                release.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            echo(exchange);
        };
        HttpListener listener = open(held);
        try (RawClient first = RawClient.connect(listener.address());
                RawClient second = RawClient.connect(listener.address())) {
            first.send(GET);
            second.send(GET);
            assertTrue(entered.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            AtomicReference<Boolean> finished = new AtomicReference<>();
            Thread stopper = new Thread(() -> finished.set(stop(listener)));
            stopper.start();
            awaitStopping(listener);
            // A connection that is opened while the listener is stopping is still served.
            RawClient late = RawClient.connect(listener.address()).send(GET);
            release.countDown();
            for (RawClient client : new RawClient[] {first, second, late}) {
                String response = client.readToEnd();
                assertTrue(response.startsWith("HTTP/1.1 200"), response);
                assertTrue(response.toLowerCase(java.util.Locale.ROOT).contains("connection: close"), response);
            }
            stopper.join(TIMEOUT_MILLIS);
            assertEquals(Boolean.TRUE, finished.get());
            late.close();
        }
    }

    private static void awaitStopping(HttpListener listener) {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (!listener.isStopping() && System.nanoTime() < endNanos) {
            Thread.onSpinWait();
        }
        assertTrue(listener.isStopping());
    }

    private static boolean stop(HttpListener listener) {
        try {
            return listener.stop(TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            return false;
        }
    }

    @Test
    void closesOpenConnectionsAfterTheStopTimeout() throws Exception {
        CountDownLatch entered = new CountDownLatch(1);
        CountDownLatch never = new CountDownLatch(1);
        HttpHandler stuck = exchange -> {
            entered.countDown();
            try {
                never.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        };
        HttpListener listener = open(stuck);
        try (RawClient client = RawClient.connect(listener.address())) {
            client.send(GET);
            assertTrue(entered.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            // Longer than the 500 ms that an idle connection stays open, so that the accept loop has ended.
            assertFalse(listener.stop(700));
            assertEquals("", client.readToEnd());
        } finally {
            never.countDown();
        }
    }
}
