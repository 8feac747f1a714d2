package org.cactusshift.internal.transport.relay;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;

/**
 * The event loop of a node, and the clock, connection pool and log that everything on it shares.
 *
 * @param group the event loop, as a group of one
 * @param clock the monotonic and the wall clock
 * @param pool provides connections to upstreams and to the platform
 * @param log the event log of the node
 */
public record NodeRuntime(EventLoopGroup group, RelayClock clock, HttpConnectionPool pool, EventLog log) {
    /**
     * Returns a runtime with a new event loop.
     *
     * @param clock the monotonic and the wall clock
     * @param log the event log of the node
     * @return the runtime
     */
    public static NodeRuntime create(RelayClock clock, EventLog log) {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        return new NodeRuntime(group, clock, HttpConnectionPool.create(group, clock), log);
    }

    /**
     * Returns the event loop.
     *
     * @return the event loop
     */
    public EventLoop eventLoop() {
        return (EventLoop) group.next();
    }

    /** Shuts down the event loop. */
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
