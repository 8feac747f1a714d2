package org.cactusshift.internal.transport.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import org.cactusshift.internal.coordination.limits.BufferLimit;
import org.cactusshift.internal.coordination.limits.BufferLimit.Selection;
import org.cactusshift.internal.coordination.limits.RequestMemory;
import org.cactusshift.internal.coordination.serving.CallerLimits;

/**
 * Connections of callers without a network. Requests for {@code /slow} get their responses when a test asks for them,
 * all others at once; bodies may have 100,000 bytes.
 */
final class EmbeddedCallers implements AutoCloseable {
    static final String SLOW = "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n";

    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.1 ([0-9]{3}) ");

    final CallerMemory memory;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ArrayDeque<CallerExchange> slow = new ArrayDeque<>();
    private final CallerServer server;

    /**
     * Creates a server.
     *
     * @param requestMemoryBytes the limit for the bodies of requests in progress
     * @param onServed called with each request before its response
     */
    EmbeddedCallers(long requestMemoryBytes, Consumer<CallerExchange> onServed) {
        memory = new CallerMemory(
                BufferLimit.of(Selection.LARGEST, 1_000_000),
                BufferLimit.of(Selection.SLOWEST, 1_000_000),
                RequestMemory.of(requestMemoryBytes));
        server = CallerServer.create(
                group,
                new SettableClock(),
                () -> new CallerLimits(8_192, 100_000, 60_000, 60_000),
                exchange -> {
                    if (exchange.request().uri().equals("/slow")) {
                        slow.add(exchange);
                    } else {
                        onServed.accept(exchange);
                        respond(exchange);
                    }
                },
                CallerServer.RequestNaming.NONE,
                (event, fields) -> {},
                memory);
    }

    EmbeddedChannel connect() {
        return new EmbeddedChannel(server.connectionHandlers(server.decoderConfig()));
    }

    /** Writes a text on a connection, in parts of a number of bytes. */
    static void write(EmbeddedChannel channel, String text, int partBytes) {
        for (int start = 0; start < text.length() && channel.isOpen(); start += partBytes) {
            String part = text.substring(start, Math.min(text.length(), start + partBytes));
            channel.writeInbound(Unpooled.copiedBuffer(part, StandardCharsets.US_ASCII));
        }
    }

    /** Returns the statuses of the responses that have been written on a connection since the last call. */
    static List<String> responseStatuses(EmbeddedChannel channel) {
        StringBuilder responses = new StringBuilder();
        for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
            responses.append(part.toString(StandardCharsets.US_ASCII));
            part.release();
        }
        return STATUS_LINE
                .matcher(responses)
                .results()
                .map(line -> line.group(1))
                .toList();
    }

    /** Responds to the oldest request for {@code /slow}; returns whether there was one. */
    boolean respondToSlow() {
        CallerExchange exchange = slow.poll();
        if (exchange != null) {
            respond(exchange);
        }
        return exchange != null;
    }

    private static void respond(CallerExchange exchange) {
        exchange.respond(HttpResponseStatus.OK, new DefaultHttpHeaders(), new byte[0]);
    }

    @Override
    public void close() {
        group.shutdownGracefully();
    }
}
