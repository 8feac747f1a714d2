package org.cactusshift.internal.transport.relay;

import java.util.HashSet;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.serving.CrashDetector;
import org.cactusshift.internal.coordination.serving.Upstream;

/**
 * Finds out whether an upstream is down, and reports it as crashed unless it was about to leave.
 *
 * <p>Without a check, the node would learn of a crash only from its next request to the upstream, or seconds later from
 * the store.
 */
final class UpstreamCheck {
    private final HttpConnectionPool pool;
    private final RelayClock clock;
    private final CrashDetector crashDetector;
    private final RandomGenerator random;

    /** The upstreams to which a connection is being opened. */
    private final Set<UpstreamId> open = new HashSet<>();

    private UpstreamCheck(
            HttpConnectionPool pool, RelayClock clock, CrashDetector crashDetector, RandomGenerator random) {
        this.pool = pool;
        this.clock = clock;
        this.crashDetector = crashDetector;
        this.random = random;
    }

    static UpstreamCheck create(
            HttpConnectionPool pool, RelayClock clock, CrashDetector crashDetector, RandomGenerator random) {
        return new UpstreamCheck(pool, clock, crashDetector, random);
    }

    /** Opens a connection to an upstream at which an attempt was lost; one at a time for each upstream. */
    void afterLostAttempt(Upstream upstream) {
        if (!open.add(upstream.id())) {
            return;
        }
        pool.connect(upstream.entry().address(), connected -> {
            open.remove(upstream.id());
            connected.peek(pool::release).peekLeft(failure -> onConnectFailed(upstream));
        });
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
