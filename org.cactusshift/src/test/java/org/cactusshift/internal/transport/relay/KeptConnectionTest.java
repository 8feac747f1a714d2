package org.cactusshift.internal.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.lang.ref.WeakReference;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cactusshift.internal.coordination.limits.BufferLimit;
import org.cactusshift.internal.coordination.limits.BufferLimit.Selection;
import org.cactusshift.internal.coordination.limits.RequestMemory;
import org.cactusshift.internal.coordination.serving.CallerLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests what a node keeps of the requests on a kept connection. */
class KeptConnectionTest {
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final CallerMemory memory = new CallerMemory(
            BufferLimit.of(Selection.LARGEST, 1_000_000),
            BufferLimit.of(Selection.SLOWEST, 1_000_000),
            RequestMemory.of(200_000));
    private WeakReference<ByteBuf> lastBody;

    /** The requests that are responded to only later. */
    private final List<CallerExchange> slow = new ArrayList<>();

    private final CallerServer server = CallerServer.create(
            group,
            new SettableClock(),
            () -> new CallerLimits(8_192, 100_000, 60_000, 60_000),
            exchange -> {
                if (exchange.request().uri().equals("/slow")) {
                    slow.add(exchange);
                    return;
                }
                lastBody = new WeakReference<>(exchange.body());
                exchange.respond(HttpResponseStatus.OK, new DefaultHttpHeaders(), new byte[0]);
            },
            CallerServer.RequestNaming.NONE,
            (event, fields) -> {},
            memory);

    @AfterEach
    void close() {
        group.shutdownGracefully();
    }

    private EmbeddedChannel connect() {
        return new EmbeddedChannel(server.connectionHandlers(server.decoderConfig()));
    }

    /** Sends a request; returns the status line of the response, empty when there is none yet. */
    private static String send(EmbeddedChannel channel, String path, int bodyBytes) {
        String request = "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
        channel.writeInbound(Unpooled.copiedBuffer(request + "x".repeat(bodyBytes), StandardCharsets.US_ASCII));
        ByteBuf response = channel.readOutbound();
        return response == null
                ? ""
                : response.toString(StandardCharsets.US_ASCII).split("\r\n")[0];
    }

    /** Guards against idle connections that fill the heap with the bodies of requests that are over. */
    @Test
    void idleConnectionKeepsNoBody() throws InterruptedException {
        EmbeddedChannel channel = connect();
        send(channel, "/x", 50_000);
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (lastBody.get() != null && System.nanoTime() < endNanos) {
            System.gc();
            Thread.sleep(10);
        }
        assertNull(lastBody.get());
        assertTrue(channel.isOpen());
        assertEquals(0, memory.requests().bytes());
        channel.finishAndReleaseAll();
    }

    /** Guards against requests in progress that fill the heap; one that doesn't fit is refused without being run. */
    @Test
    void requestThatDoesNotFitIsRefused() {
        List<EmbeddedChannel> channels = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            channels.add(connect());
            assertEquals("", send(channels.get(i), "/slow", 40_000));
        }
        assertEquals(80_000, memory.requests().bytes());
        EmbeddedChannel third = connect();
        assertEquals("HTTP/1.1 503 Service Unavailable", send(third, "/x", 40_000));
        assertEquals("HTTP/1.1 200 OK", send(third, "/x", 1_000));
        slow.forEach(exchange -> exchange.respond(HttpResponseStatus.OK, new DefaultHttpHeaders(), new byte[0]));
        assertEquals("HTTP/1.1 200 OK", send(third, "/x", 40_000));
    }

    /** Guards against memory that is counted for a request that is over, or for a caller that is gone. */
    @Test
    void memoryIsReleasedAtTheEndOfARequest() {
        EmbeddedChannel answered = connect();
        EmbeddedChannel left = connect();
        send(answered, "/slow", 30_000);
        send(left, "/slow", 30_000);
        send(left, "/x", 20_000);
        assertEquals(80_000, memory.requests().bytes());
        slow.get(0).respond(HttpResponseStatus.OK, new DefaultHttpHeaders(), new byte[0]);
        assertEquals(50_000, memory.requests().bytes());
        left.close();
        assertEquals(0, memory.requests().bytes());
        answered.finishAndReleaseAll();
    }

    /** Guards against memory that is counted for a request that was rejected behind others. */
    @Test
    void rejectedRequestHoldsNoMemory() {
        EmbeddedChannel channel = connect();
        for (int i = 0; i < 12; i++) {
            send(channel, "/slow", 1_000);
        }
        // One is served and eight wait.
        assertEquals(9_000, memory.requests().bytes());
        while (!slow.isEmpty()) {
            slow.remove(0).respond(HttpResponseStatus.OK, new DefaultHttpHeaders(), new byte[0]);
        }
        assertEquals(0, memory.requests().bytes());
        assertFalse(channel.isOpen());
        channel.finishAndReleaseAll();
    }
}
