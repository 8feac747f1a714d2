package org.cactusshift.internal.transport.relay;

import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.limits.UpstreamRequestLimits;
import org.cactusshift.internal.coordination.serving.CrashDetector;
import org.cactusshift.internal.coordination.serving.Upstream;

/**
 * Finds out whether an upstream is down, and reports it as crashed unless it was about to leave.
 *
 * <p>Without a check, the node would learn of a crash only from its next request to the upstream, or seconds later from
 * the store.
 */
final class UpstreamCheck {
    /**
     * Time after which the connection of a check must still be open; a crashing process may accept connections until
     * its last socket is closed.
     */
    private static final long CONFIRMATION_MILLIS = 300;

    /** Maximum number of connections that are opened after a lost attempt. */
    private static final int MAXIMUM_CONNECTIONS = 3;

    private final EventLoop eventLoop;
    private final HttpConnectionPool pool;
    private final RelayClock clock;
    private final CrashDetector crashDetector;
    private final UpstreamRequestLimits limits;
    private final RandomGenerator random;

    /** The upstreams that are being checked. */
    private final Set<UpstreamId> checked = new HashSet<>();

    private UpstreamCheck(
            EventLoop eventLoop,
            HttpConnectionPool pool,
            RelayClock clock,
            CrashDetector crashDetector,
            UpstreamRequestLimits limits,
            RandomGenerator random) {
        this.eventLoop = eventLoop;
        this.pool = pool;
        this.clock = clock;
        this.crashDetector = crashDetector;
        this.limits = limits;
        this.random = random;
    }

    static UpstreamCheck create(
            EventLoop eventLoop,
            HttpConnectionPool pool,
            RelayClock clock,
            CrashDetector crashDetector,
            UpstreamRequestLimits limits,
            RandomGenerator random) {
        return new UpstreamCheck(eventLoop, pool, clock, crashDetector, limits, random);
    }

    /** Checks an upstream at which an attempt was lost, unless it is being checked. */
    void afterLostAttempt(Upstream upstream) {
        if (checked.add(upstream.id())) {
            connect(upstream, MAXIMUM_CONNECTIONS);
        }
    }

    private void connect(Upstream upstream, int remainingConnections) {
        limits.onSend(upstream.incarnation(), clock.monotonicMillis());
        pool.connect(upstream.entry().address(), connected -> {
            if (connected.isLeft()) {
                checked.remove(upstream.id());
                onConnectFailed(upstream);
                return;
            }
            pool.release(connected.get());
            eventLoop.schedule(
                    () -> confirm(upstream, connected.get(), remainingConnections - 1),
                    CONFIRMATION_MILLIS,
                    TimeUnit.MILLISECONDS);
        });
    }

    private void confirm(Upstream upstream, HttpClientConnection connection, int remainingConnections) {
        if (connection.isOpen() || remainingConnections == 0) {
            checked.remove(upstream.id());
        } else {
            connect(upstream, remainingConnections);
        }
    }

    /** Records that no connection to an upstream could be opened. */
    void onConnectFailed(Upstream upstream) {
        long now = clock.monotonicMillis();
        upstream.onUnreachable(now, random);
        if (!upstream.isLeaving()) {
            crashDetector.onUpstreamDown(upstream.id(), now);
        }
    }
}
