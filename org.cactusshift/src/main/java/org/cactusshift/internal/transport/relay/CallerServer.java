package org.cactusshift.internal.transport.relay;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.cactusshift.internal.coordination.serving.CallerLimits;

/** Accepts connections of callers and enforces the limits on their requests and idle times. */
public final class CallerServer {
    /** How long after the server stopped listening requests are still served: those that were on their way. */
    private static final long REFUSAL_DELAY_MILLIS = 500;

    /** Maximum number of connections that wait to be accepted. */
    private static final int BACKLOG = 512;

    /** A longer request line is rejected with status 414. */
    private static final int MAXIMUM_REQUEST_LINE_BYTES = 8_192;

    private final EventLoopGroup eventLoopGroup;
    private final RelayClock clock;
    private final Supplier<CallerLimits> limits;
    private final CallerRequestHandler handler;
    private final RequestNaming naming;
    private final EventLog log;
    private final CallerMemory memory;
    private final Set<CallerConnection> connections = new HashSet<>();
    private Channel serverChannel;
    private boolean draining;

    /** When the server stopped listening; far in the future before. */
    private long closedAtMillis = Long.MAX_VALUE;

    private int openRequests;

    private CallerServer(
            EventLoopGroup eventLoopGroup,
            RelayClock clock,
            Supplier<CallerLimits> limits,
            CallerRequestHandler handler,
            RequestNaming naming,
            EventLog log,
            CallerMemory memory) {
        this.eventLoopGroup = eventLoopGroup;
        this.clock = clock;
        this.limits = limits;
        this.handler = handler;
        this.naming = naming;
        this.log = log;
        this.memory = memory;
    }

    /**
     * Returns a server that is not listening yet.
     *
     * @param eventLoopGroup the event loop
     * @param clock the monotonic and the wall clock
     * @param limits supplies the current limits
     * @param handler handles the requests
     * @param naming names the request in each response
     * @param log records requests that are rejected because they are malformed, too large or too slow
     * @param memory limits what is held for slow callers; shared by the servers of a node
     * @return the server
     */
    public static CallerServer create(
            EventLoopGroup eventLoopGroup,
            RelayClock clock,
            Supplier<CallerLimits> limits,
            CallerRequestHandler handler,
            RequestNaming naming,
            EventLog log,
            CallerMemory memory) {
        return new CallerServer(eventLoopGroup, clock, limits, handler, naming, log, memory);
    }

    /** Names, in a response, the request that it answers. */
    public interface RequestNaming {
        /** For servers whose callers send one request at a time and no ids. */
        RequestNaming NONE = (request, response) -> {};

        /**
         * Adds the id of a request to the headers of its response, unless the response has one.
         *
         * @param request the headers of the request
         * @param response the headers of the response; modified
         */
        void copyRequestId(HttpHeaders request, HttpHeaders response);
    }

    /**
     * Starts listening.
     *
     * @param address the address
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    public void listen(InetSocketAddress address) throws InterruptedException {
        HttpDecoderConfig decoder = decoderConfig();
        serverChannel = new ServerBootstrap()
                .group(eventLoopGroup)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, CallerOutput.BUFFER)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(connectionHandlers(decoder));
                    }
                })
                .bind(address)
                .sync()
                .channel();
    }

    HttpDecoderConfig decoderConfig() {
        return new HttpDecoderConfig()
                .setMaxInitialLineLength(MAXIMUM_REQUEST_LINE_BYTES)
                .setMaxHeaderSize(limits.get().maximumHeaderBytes());
    }

    /** Returns the handlers of the channel of a new connection, in their order. */
    ChannelHandler[] connectionHandlers(HttpDecoderConfig decoder) {
        CallerConnection connection = new CallerConnection(this);
        connections.add(connection);
        return new ChannelHandler[] {new RawByteListener(connection), new HttpServerCodec(decoder), connection};
    }

    private static final class RawByteListener extends ChannelInboundHandlerAdapter {
        private final CallerConnection connection;

        RawByteListener(CallerConnection connection) {
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
        return ((InetSocketAddress) serverChannel.localAddress()).getPort();
    }

    long monotonicMillis() {
        return clock.monotonicMillis();
    }

    CallerLimits limits() {
        return limits.get();
    }

    CallerMemory memory() {
        return memory;
    }

    CallerRequestHandler handler() {
        return handler;
    }

    RequestNaming naming() {
        return naming;
    }

    boolean isDraining() {
        return draining;
    }

    /**
     * Returns whether a request that was received only now is refused: the process is about to exit, and callers were
     * asked long ago to connect to another node.
     */
    boolean refusesRequests() {
        return closedAtMillis != Long.MAX_VALUE && clock.monotonicMillis() - closedAtMillis >= REFUSAL_DELAY_MILLIS;
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

    void logRejected(int status, String reason, String callerAddress) {
        log.event("request.unreadable")
                .with("caller", callerAddress)
                .with("status", status)
                .with("reason", reason)
                .write();
    }

    void logOverMemory(String callerAddress) {
        log.event("request.overMemory")
                .with("caller", callerAddress)
                .with("heldBytes", memory.requests().bytes())
                .write();
    }

    void logSlowReader(String callerAddress, String reason, long pendingBytes) {
        log.event("caller.slow")
                .with("caller", callerAddress)
                .with("reason", reason)
                .with("pendingBytes", pendingBytes)
                .write();
    }

    void logFailed(String callerAddress, String cause, boolean inRequest) {
        log.event("caller.failed")
                .with("caller", callerAddress)
                .with("cause", cause)
                .with("inRequest", inRequest)
                .write();
    }

    /**
     * Returns the number of requests that have not been responded to yet.
     *
     * @return the number of requests
     */
    public int openRequestCount() {
        return openRequests;
    }

    /**
     * Returns the number of open connections.
     *
     * @return the number of connections
     */
    public int connectionCount() {
        return connections.size();
    }

    /**
     * Returns whether no request is in progress and no connection is open.
     *
     * @return whether nothing is lost when the process exits
     */
    boolean isUnused() {
        return openRequests == 0 && connections.isEmpty();
    }

    /** Starts draining: from now on each response asks the caller to close its connection. */
    public void startDraining() {
        draining = true;
    }

    /**
     * Closes connections that are slow or idle beyond the limits.
     *
     * @param nowMillis the current monotonic time, in milliseconds
     */
    public void closeExpired(long nowMillis) {
        CallerLimits current = limits.get();
        List.copyOf(connections).forEach(connection -> connection.closeExpired(nowMillis, current));
    }

    /**
     * Closes connections that have been idle for some time.
     *
     * @param nowMillis the current monotonic time, in milliseconds
     * @param idleMillis the minimum idle time, in milliseconds
     */
    public void closeIdle(long nowMillis, long idleMillis) {
        List.copyOf(connections).forEach(connection -> connection.closeIfIdle(nowMillis, idleMillis));
    }

    /**
     * Stops listening; connections that were accepted before stay open.
     *
     * @return whether the server was listening until now
     */
    public boolean close() {
        boolean wasListening = serverChannel != null && serverChannel.isOpen();
        if (wasListening) {
            closedAtMillis = clock.monotonicMillis();
            serverChannel.close();
        }
        return wasListening;
    }
}
