package org.cactusshift.internal.transport.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.Consumer;
import org.cactusshift.errors.Failure;

/** Idle connections by address, the one used last first. */
public final class UpstreamConnectionPool {
    /** Before this much of the upstream's idle time is left, a connection is no longer used. */
    private static final long IDLE_MARGIN_MILLIS = 1_000;

    /** Longer than a link in one region takes even under loss of the first packet. */
    private static final int CONNECT_TIMEOUT_MILLIS = 400;

    /** An idle connection is closed after this, so that a quiet upstream holds no descriptors. */
    private static final long LONGEST_IDLE_MILLIS = 20_000;

    private static final int MAXIMUM_HEADER_BYTES = 32_768;

    private final Bootstrap bootstrap;
    private final RelayClock clock;
    private final Map<String, ArrayDeque<UpstreamConnection>> idle = new HashMap<>();

    private UpstreamConnectionPool(EventLoopGroup eventLoop, RelayClock clock) {
        this.clock = clock;
        this.bootstrap = new Bootstrap()
                .group(eventLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
    }

    /**
     * Returns an empty pool.
     *
     * @param eventLoop the event loop
     * @param clock the clocks
     * @return the pool
     */
    public static UpstreamConnectionPool create(EventLoopGroup eventLoop, RelayClock clock) {
        return new UpstreamConnectionPool(eventLoop, clock);
    }

    /**
     * Takes an idle connection or opens one.
     *
     * @param address the address, as {@code ADDRESS:PORT}
     * @param longestIdleMillis an idle connection that was used longer ago than this is not taken
     * @param receiver receives the connection, or why there is none; nothing was sent then
     */
    public void take(String address, long longestIdleMillis, Consumer<Either<Failure, UpstreamConnection>> receiver) {
        ArrayDeque<UpstreamConnection> connections = idle.get(address);
        long nowMillis = clock.monotonicMillis();
        while (connections != null && !connections.isEmpty()) {
            UpstreamConnection connection = connections.removeLast();
            if (connection.isUsable(nowMillis, IDLE_MARGIN_MILLIS)
                    && !connection.isIdleFor(nowMillis, longestIdleMillis)) {
                receiver.accept(Either.right(connection));
                return;
            }
            connection.close();
        }
        connect(address, receiver);
    }

    private void connect(String address, Consumer<Either<Failure, UpstreamConnection>> receiver) {
        int colon = address.lastIndexOf(':');
        InetSocketAddress peer;
        try {
            peer = new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            receiver.accept(Either.left(Failure.noEffect("connect", address, "not an address")));
            return;
        }
        UpstreamConnection connection = new UpstreamConnection(this, address);
        HttpDecoderConfig decoder = new HttpDecoderConfig().setMaxHeaderSize(MAXIMUM_HEADER_BYTES);
        ChannelFuture connecting = bootstrap
                .clone()
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(decoder, false, true), connection);
                    }
                })
                .connect(peer);
        connecting.addListener(done -> {
            if (done.isSuccess()) {
                receiver.accept(Either.right(connection));
            } else {
                String reason = String.valueOf(done.cause().getMessage());
                receiver.accept(Either.left(Failure.noEffect("connect", address, reason)));
            }
        });
    }

    void giveBack(UpstreamConnection connection) {
        connection.setIdleSinceMillis(clock.monotonicMillis());
        idle.computeIfAbsent(connection.address(), key -> new ArrayDeque<>()).addLast(connection);
    }

    void forget(UpstreamConnection connection) {
        ArrayDeque<UpstreamConnection> connections = idle.get(connection.address());
        if (connections != null) {
            connections.remove(connection);
        }
    }

    /**
     * Closes the connections that have been idle for long.
     *
     * @param nowMillis the present time
     */
    public void sweep(long nowMillis) {
        for (Iterator<ArrayDeque<UpstreamConnection>> all = idle.values().iterator(); all.hasNext(); ) {
            ArrayDeque<UpstreamConnection> connections = all.next();
            connections.removeIf(connection -> {
                boolean old = connection.isIdleFor(nowMillis, LONGEST_IDLE_MILLIS)
                        || !connection.isUsable(nowMillis, IDLE_MARGIN_MILLIS);
                if (old) {
                    connection.close();
                }
                return old;
            });
            if (connections.isEmpty()) {
                all.remove();
            }
        }
    }
}
