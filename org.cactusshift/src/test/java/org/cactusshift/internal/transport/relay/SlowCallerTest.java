package org.cactusshift.internal.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.cactusshift.internal.coordination.limits.BufferLimit;
import org.cactusshift.internal.coordination.limits.BufferLimit.Selection;
import org.cactusshift.internal.coordination.limits.RequestMemory;
import org.cactusshift.internal.coordination.serving.CallerLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the bounds of what a node holds for callers that read or send slowly. */
class SlowCallerTest {
    /** More than the socket buffers of both sides take. */
    private static final int LONG_RESPONSE_BYTES = 24 * 1_024 * 1_024;

    private static final int RESPONSE_LIMIT_BYTES = 40 * 1_024 * 1_024;
    private static final int UPLOAD_LIMIT_BYTES = 200_000;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final SettableClock clock = new SettableClock();
    private final CallerMemory memory = new CallerMemory(
            BufferLimit.of(Selection.LARGEST, RESPONSE_LIMIT_BYTES),
            BufferLimit.of(Selection.SLOWEST, UPLOAD_LIMIT_BYTES),
            RequestMemory.of(100_000_000));
    private final List<String> log = new CopyOnWriteArrayList<>();
    private final List<Socket> callers = new ArrayList<>();
    private final CallerServer server = CallerServer.create(
            group,
            clock,
            () -> new CallerLimits(8_192, 100_000_000, 60_000, 60_000),
            exchange -> {
                exchange.setStallLimitMillis(5_000);
                exchange.respond(HttpResponseStatus.OK, new DefaultHttpHeaders(), new byte[LONG_RESPONSE_BYTES]);
            },
            CallerServer.RequestNaming.NONE,
            (event, fields) -> log.add(event + " " + fields),
            memory);

    @BeforeEach
    void listen() throws InterruptedException {
        server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    @AfterEach
    void close() throws IOException {
        for (Socket caller : callers) {
            caller.close();
        }
        group.shutdownGracefully();
    }

    private Socket send(String text) throws IOException {
        Socket caller = new Socket();
        callers.add(caller);
        caller.setReceiveBufferSize(65_536);
        caller.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port()));
        caller.setSoTimeout(20_000);
        caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        return caller;
    }

    private <T> T onEventLoop(Callable<T> call) throws Exception {
        return group.next().submit(call).get(20, TimeUnit.SECONDS);
    }

    private void await(Callable<Boolean> condition) throws Exception {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!onEventLoop(condition)) {
            assertTrue(System.nanoTime() < endNanos, () -> "not reached; log " + log);
            Thread.sleep(10);
        }
    }

    private void closeExpired(long nowMillis) throws Exception {
        onEventLoop(() -> {
            clock.monotonicMillis = nowMillis;
            server.closeExpired(nowMillis);
            return null;
        });
    }

    /** Guards against complete responses that are held without a bound for callers that read nothing. */
    @Test
    void responsesOfCallersThatDoNotReadStayWithinTheLimit() throws Exception {
        for (int i = 0; i < 5; i++) {
            send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
        }
        await(() -> memory.responses().endedCount() >= 2);
        assertTrue(onEventLoop(() -> memory.responses().bytes()) <= RESPONSE_LIMIT_BYTES);
        assertTrue(log.stream().anyMatch(line -> line.startsWith("caller.slow") && line.contains("memory")));
        await(() -> server.connectionCount() < 5);
    }

    /** Guards against a caller that reads nothing and keeps its response for ever; one that reads is not ended. */
    @Test
    void callerThatReadsNothingIsEndedAfterTheTimeout() throws Exception {
        Socket caller = send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
        await(() -> memory.responses().bytes() > 0);
        long readBytes = 0;
        for (long now = 4_000; now <= 12_000; now += 4_000) {
            readBytes += caller.getInputStream().readNBytes(4 * 1_024 * 1_024).length;
            long nowMillis = now;
            Thread.sleep(50);
            closeExpired(nowMillis);
        }
        assertEquals(1, onEventLoop(server::connectionCount));
        closeExpired(17_001);
        await(() -> server.connectionCount() == 0);
        assertTrue(log.stream().anyMatch(line -> line.startsWith("caller.slow") && line.contains("stalled")));
        assertEquals(0L, onEventLoop(() -> memory.responses().bytes()));
        assertTrue(readBytes < LONG_RESPONSE_BYTES);
    }

    /** Guards against a caller that reserves memory by the length that it states. */
    @Test
    void uploadHoldsMemoryForWhatHasArrived() throws Exception {
        for (int i = 0; i < 10; i++) {
            send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 90000000\r\n\r\n" + "x".repeat(1_000));
        }
        await(() -> memory.uploads().bytes() >= 10_000);
        assertTrue(onEventLoop(() -> memory.uploads().bytes()) <= 20_480);
        assertEquals(0, memory.uploads().endedCount());
    }

    /** Guards against slow uploads that take the heap; the slowest is refused, so that another node can take it. */
    @Test
    void slowestUploadIsRefusedAtTheLimit() throws Exception {
        String head = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 90000000\r\n\r\n";
        Socket slow = send(head + "x".repeat(70_000));
        await(() -> memory.uploads().bytes() >= 70_000);
        onEventLoop(() -> {
            clock.monotonicMillis += 10_000;
            return null;
        });
        Socket fast = send(head + "x".repeat(70_000));
        String refusal = new String(slow.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        assertTrue(refusal.startsWith("HTTP/1.1 503"), refusal);
        assertTrue(refusal.toLowerCase(Locale.ROOT).contains("connection: close"), refusal);
        await(() -> memory.uploads().bytes() >= 70_000);
        assertEquals(1, onEventLoop(server::connectionCount));
        assertFalse(fast.isClosed());
    }
}
