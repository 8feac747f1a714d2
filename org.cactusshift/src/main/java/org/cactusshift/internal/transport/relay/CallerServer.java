package org.cactusshift.internal.transport.relay;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.cactusshift.internal.coordination.serving.CallerLimits;

/** Listens for callers, and keeps their connections within the limits. */
public final class CallerServer {
    private static final int BACKLOG = 512;
    private static final int MAXIMUM_LINE_BYTES = 8_192;

    private final EventLoopGroup eventLoop;
    private final RelayClock clock;
    private final Supplier<CallerLimits> limits;
    private final CallerRequestHandler handler;
    private final EventLog log;
    private final Set<CallerConnection> connections = new HashSet<>();
    private Channel listening;
    private boolean draining;
    private int openRequests;

    private CallerServer(
            EventLoopGroup eventLoop,
            RelayClock clock,
            Supplier<CallerLimits> limits,
            CallerRequestHandler handler,
            EventLog log) {
        this.eventLoop = eventLoop;
        this.clock = clock;
        this.limits = limits;
        this.handler = handler;
        this.log = log;
    }

    /**
     * Returns a server that does not listen yet.
     *
     * @param eventLoop the event loop
     * @param clock the clocks
     * @param limits the limits in force
     * @param handler takes the requests
     * @param log takes what is refused unread
     * @return the server
     */
    public static CallerServer create(
            EventLoopGroup eventLoop,
            RelayClock clock,
            Supplier<CallerLimits> limits,
            CallerRequestHandler handler,
            EventLog log) {
        return new CallerServer(eventLoop, clock, limits, handler, log);
    }

    /**
     * Starts to listen.
     *
     * @param address the address
     * @throws InterruptedException if the thread is interrupted meanwhile
     */
    public void listen(InetSocketAddress address) throws InterruptedException {
        HttpDecoderConfig decoder = new HttpDecoderConfig()
                .setMaxInitialLineLength(MAXIMUM_LINE_BYTES)
                .setMaxHeaderSize(limits.get().maximumHeaderBytes());
        listening = new ServerBootstrap()
                .group(eventLoop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        CallerConnection connection = new CallerConnection(CallerServer.this);
                        connections.add(connection);
                        channel.pipeline().addLast(new ByteWatch(connection), new HttpServerCodec(decoder), connection);
                    }
                })
                .bind(address)
                .sync()
                .channel();
    }

    private static final class ByteWatch extends ChannelInboundHandlerAdapter {
        private final CallerConnection connection;

        ByteWatch(CallerConnection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            connection.onBytes();
            context.fireChannelRead(message);
        }
    }

    /**
     * Returns the port on which the server listens.
     *
     * @return the port
     */
    public int port() {
        return ((InetSocketAddress) listening.localAddress()).getPort();
    }

    long steadyMillis() {
        return clock.monotonicMillis();
    }

    CallerLimits limits() {
        return limits.get();
    }

    CallerRequestHandler handler() {
        return handler;
    }

    boolean isDraining() {
        return draining;
    }

    void onRequestStarted() {
        openRequests++;
    }

    void onRequestEnded() {
        openRequests--;
    }

    void onClosed(CallerConnection connection) {
        connections.remove(connection);
    }

    void onUnreadable(int status, String caller) {
        log.event("request.unreadable")
                .with("caller", caller)
                .with("status", status)
                .write();
    }

    /**
     * Returns the requests that are not answered yet.
     *
     * @return the number of requests
     */
    public int openRequests() {
        return openRequests;
    }

    /**
     * Returns the open connections.
     *
     * @return the number of connections
     */
    public int connections() {
        return connections.size();
    }

    /** From now on each answer tells the caller to close its connection. */
    public void startDraining() {
        draining = true;
    }

    /**
     * Closes connections that are slow or idle beyond the limits.
     *
     * @param nowMillis the present time
     */
    public void sweep(long nowMillis) {
        CallerLimits inForce = limits.get();
        List.copyOf(connections).forEach(connection -> connection.sweep(nowMillis, inForce));
    }

    /**
     * Closes connections without a request.
     *
     * @param nowMillis the present time
     * @param quietMillis how long they must have been quiet
     */
    public void closeQuiet(long nowMillis, long quietMillis) {
        List.copyOf(connections).forEach(connection -> connection.closeIfQuiet(nowMillis, quietMillis));
    }

    /** Stops listening. */
    public void close() {
        if (listening != null) {
            listening.close();
        }
    }
}
