package org.cactusshift.internal.transport.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.Consumer;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.limits.ConnectionReuse;

/** A pool of idle connections by address; the most recently used connection is reused first. */
public final class HttpConnectionPool {
    /** An idle connection is not reused once less than this is left of the remote side's idle timeout. */
    private static final long IDLE_MARGIN_MILLIS = 1_000;

    /** Longer than connecting within one region takes. */
    private static final int CONNECT_TIMEOUT_MILLIS = 400;

    /** Idle connections are closed after this time, so that unused ones do not occupy file descriptors. */
    private static final long MAXIMUM_IDLE_MILLIS = 20_000;

    /** Longer response headers fail the exchange. */
    private static final int MAXIMUM_RESPONSE_HEADER_BYTES = 32_768;

    private final Bootstrap bootstrap;
    private final RelayClock clock;
    private final Map<String, ArrayDeque<HttpClientConnection>> idleConnectionsByAddress = new HashMap<>();

    private final ConnectionReuse reuse = ConnectionReuse.create();
    private ResponseMismatch.Listener mismatchListener = mismatch -> {};

    private HttpConnectionPool(EventLoopGroup eventLoopGroup, RelayClock clock) {
        this.clock = clock;
        this.bootstrap = new Bootstrap()
                .group(eventLoopGroup)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                // A failed write must not discard a complete early response that has arrived but is not read yet; the
                // reader meets the end of the connection next.
                .option(ChannelOption.AUTO_CLOSE, false)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
    }

    /**
     * Returns an empty pool.
     *
     * @param eventLoopGroup the event loop
     * @param clock the monotonic and the wall clock
     * @return the pool
     */
    public static HttpConnectionPool create(EventLoopGroup eventLoopGroup, RelayClock clock) {
        return new HttpConnectionPool(eventLoopGroup, clock);
    }

    /**
     * Sets the listener for responses that answer no request of their connection.
     *
     * @param listener the listener
     */
    public void setMismatchListener(ResponseMismatch.Listener listener) {
        mismatchListener = listener;
    }

    void onMismatch(ResponseMismatch mismatch) {
        mismatchListener.onMismatch(mismatch);
        if (reuse.onMismatch(mismatch.address(), clock.monotonicMillis())) {
            ArrayDeque<HttpClientConnection> idle = idleConnectionsByAddress.remove(mismatch.address());
            if (idle != null) {
                idle.forEach(HttpClientConnection::close);
            }
        }
    }

    long nowMillis() {
        return clock.monotonicMillis();
    }

    /**
     * Provides an idle connection or opens a new one.
     *
     * @param address the address, as {@code ADDRESS:PORT}
     * @param maximumIdleMillis maximum time for which a reused connection may have been idle
     * @param receiver receives the connection, or the failure to connect, in which case nothing was sent; called on
     *     the event loop, possibly before this method returns
     */
    public void acquire(
            String address, long maximumIdleMillis, Consumer<Either<Failure, HttpClientConnection>> receiver) {
        ArrayDeque<HttpClientConnection> connections = idleConnectionsByAddress.get(address);
        long nowMillis = clock.monotonicMillis();
        while (connections != null && !connections.isEmpty()) {
            HttpClientConnection connection = connections.removeLast();
            if (connection.isUsable(nowMillis, IDLE_MARGIN_MILLIS)
                    && !connection.hasBeenIdleFor(nowMillis, maximumIdleMillis)) {
                receiver.accept(Either.right(connection));
                return;
            }
            connection.close();
        }
        connect(address, receiver);
    }

    /**
     * Opens a new connection, whatever connections are idle.
     *
     * @param address the address, as {@code ADDRESS:PORT}
     * @param receiver receives the connection, or the failure to connect; called on the event loop, possibly before
     *     this method returns
     */
    void connect(String address, Consumer<Either<Failure, HttpClientConnection>> receiver) {
        int colon = address.lastIndexOf(':');
        InetSocketAddress peer;
        try {
            peer = new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            receiver.accept(
                    Either.left(Failure.noEffect("connect", address, "address must have the form ADDRESS:PORT")));
            return;
        }
        HttpClientConnection connection = new HttpClientConnection(this, address);
        HttpDecoderConfig decoder = new HttpDecoderConfig().setMaxHeaderSize(MAXIMUM_RESPONSE_HEADER_BYTES);
        ChannelFuture connecting = bootstrap
                .clone()
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(connection.handlers(decoder));
                    }
                })
                .connect(peer);
        connecting.addListener(done -> {
            if (done.isSuccess()) {
                connection.setOpenedAtMillis(clock.monotonicMillis());
                receiver.accept(Either.right(connection));
            } else {
                String reason = String.valueOf(done.cause().getMessage());
                receiver.accept(Either.left(Failure.noEffect("connect", address, reason)));
            }
        });
    }

    /**
     * Opens a connection for one exchange, which no response to another request can reach.
     *
     * @param address the address, as {@code ADDRESS:PORT}
     * @param receiver receives the connection, or the failure to connect; called on the event loop, possibly before
     *     this method returns
     */
    void connectForSingleExchange(String address, Consumer<Either<Failure, HttpClientConnection>> receiver) {
        connect(address, connected -> {
            connected.forEach(HttpClientConnection::limitToSingleExchange);
            receiver.accept(connected);
        });
    }

    /** Takes back a connection after a clean exchange, or one that was not used. */
    void release(HttpClientConnection connection) {
        long nowMillis = clock.monotonicMillis();
        if (connection.isLimitedToSingleExchange() || !reuse.isAllowed(connection.address(), nowMillis)) {
            connection.close();
            return;
        }
        connection.setIdleSinceMillis(nowMillis);
        idleConnectionsByAddress
                .computeIfAbsent(connection.address(), key -> new ArrayDeque<>())
                .addLast(connection);
    }

    /** Drops a connection that failed, if it is idle here. */
    void remove(HttpClientConnection connection) {
        ArrayDeque<HttpClientConnection> connections = idleConnectionsByAddress.get(connection.address());
        if (connections != null) {
            connections.remove(connection);
        }
    }

    /**
     * Closes connections that have been idle for too long.
     *
     * @param nowMillis the current monotonic time, in milliseconds
     */
    public void closeExpired(long nowMillis) {
        reuse.removeExpired(nowMillis);
        for (Iterator<ArrayDeque<HttpClientConnection>> all =
                        idleConnectionsByAddress.values().iterator();
                all.hasNext(); ) {
            ArrayDeque<HttpClientConnection> connections = all.next();
            connections.removeIf(connection -> {
                boolean expired = connection.hasBeenIdleFor(nowMillis, MAXIMUM_IDLE_MILLIS)
                        || !connection.isUsable(nowMillis, IDLE_MARGIN_MILLIS);
                if (expired) {
                    connection.close();
                }
                return expired;
            });
            if (connections.isEmpty()) {
                all.remove();
            }
        }
    }
}
