package org.cactusshift.internal.transport.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a message that was cut in its head or in its last chunk and passes for a complete one (issue 48). */
class CutMessagesTest {
    private static final long CLOSE_TIMEOUT_MILLIS = 10_000;

    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
    private final HttpClientPool pool = HttpClientPool.create(
            () -> new HttpClientSettings(5_000, 5_000, 2, 60_000),
            () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
            scheduler);

    @AfterEach
    void closePool() {
        pool.close();
        scheduler.shutdownNow();
    }

    @ParameterizedTest
    @CsvSource({
        "LENGTH, CLOSE",
        "LENGTH, RESET",
        "CHUNKS, CLOSE",
        "CHUNKS, RESET",
        "CONNECTION, CLOSE",
        "CONNECTION, RESET"
    })
    void cutResponseOfAnUpstreamFails(CutMessages.Framing framing, CutMessages.End end) throws Exception {
        assertEquals(List.of(), CutMessages.misjudgedLengths(framing, end, address -> {
            Either<HttpExchangeException, HttpClientExchange> sent =
                    pool.send(address, new BasicClassicHttpRequest("GET", "/x"), ResponseNeededCheck.ALWAYS_NEEDED);
            return sent.isRight() && isComplete(sent.get());
        }));
    }

    private static boolean isComplete(HttpClientExchange sent) {
        try (HttpClientExchange exchange = sent) {
            exchange.readAll(100);
            return true;
        } catch (HttpExchangeException e) {
            return false;
        }
    }

    @ParameterizedTest
    @CsvSource({
        "Content-Length: 5||hello, CLOSE",
        "Content-Length: 5||hello, RESET",
        "Transfer-Encoding: chunked||5|hello|0||, CLOSE",
        "Transfer-Encoding: chunked||5|hello|0||, RESET",
        "|, CLOSE",
        "|, RESET"
    })
    void cutRequestOfACallerIsNotRun(String rest, CutMessages.End end) throws Exception {
        String request = ("POST /x HTTP/1.1|Host: h|" + rest).replace("|", "\r\n");
        AtomicInteger runs = new AtomicInteger();
        // header bytes, body bytes, connections; header, write and keep-alive timeouts in ms
        ListenerSettings settings = new ListenerSettings(2048, 1000, 64, 5000, 5000, 5000);
        List<Integer> runLengths = new ArrayList<>();
        try (HttpListener listener = HttpListener.open(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), () -> settings, exchange -> {
                    runs.incrementAndGet();
                    exchange.submit(HttpResponses.of(200, ContentType.TEXT_PLAIN, exchange.body()));
                })) {
            for (int length = 0; length < request.length(); length++) {
                int before = runs.get();
                sendAndEnd(listener, request.substring(0, length), end);
                if (runs.get() != before) {
                    runLengths.add(length);
                }
            }
            sendAndEnd(listener, request, CutMessages.End.CLOSE);
        }
        assertEquals(List.of(), runLengths);
        assertEquals(1, runs.get());
    }

    private static void sendAndEnd(HttpListener listener, String text, CutMessages.End end)
            throws IOException, InterruptedException {
        try (RawClient client = RawClient.connect(listener.address())) {
            client.send(text);
            if (end == CutMessages.End.CLOSE) {
                client.socket().shutdownOutput();
                client.readToEnd();
            } else {
                // So that the bytes are read before the reset discards them.
                awaitOpenConnections(listener, 1);
                end.apply(client.socket());
            }
        }
        awaitOpenConnections(listener, 0);
    }

    private static void awaitOpenConnections(HttpListener listener, int count)
            throws InterruptedException, IOException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CLOSE_TIMEOUT_MILLIS);
        while (listener.openConnectionCount() != count) {
            if (System.nanoTime() > endNanos) {
                throw new IOException("the listener has " + listener.openConnectionCount() + " connections");
            }
            Thread.sleep(1);
        }
    }
}
