package org.cactusshift.internal.transport.relay;

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
import java.util.concurrent.TimeUnit;
import org.cactusshift.internal.coordination.limits.BufferLimit;
import org.cactusshift.internal.coordination.limits.BufferLimit.Selection;
import org.cactusshift.internal.coordination.serving.CallerLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests what a node keeps of the requests on a kept connection. */
class KeptConnectionTest {
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final CallerMemory memory = new CallerMemory(
            BufferLimit.of(Selection.LARGEST, 1_000_000), BufferLimit.of(Selection.SLOWEST, 1_000_000));
    private WeakReference<ByteBuf> lastBody;
    private final CallerServer server = CallerServer.create(
            group,
            new SettableClock(),
            () -> new CallerLimits(8_192, 100_000, 60_000, 60_000),
            exchange -> {
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

    /** Guards against idle connections that fill the heap with the bodies of requests that are over. */
    @Test
    void idleConnectionKeepsNoBody() throws InterruptedException {
        EmbeddedChannel channel = new EmbeddedChannel(server.connectionHandlers(server.decoderConfig()));
        String request = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 50000\r\n\r\n" + "x".repeat(50_000);
        channel.writeInbound(Unpooled.copiedBuffer(request, StandardCharsets.US_ASCII));
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (lastBody.get() != null && System.nanoTime() < endNanos) {
            System.gc();
            Thread.sleep(10);
        }
        assertNull(lastBody.get());
        assertTrue(channel.isOpen());
        channel.finishAndReleaseAll();
    }
}
