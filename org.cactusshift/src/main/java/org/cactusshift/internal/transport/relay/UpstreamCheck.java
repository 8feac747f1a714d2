package org.cactusshift.internal.transport.relay;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.limits.UpstreamRequestLimits;
import org.cactusshift.internal.coordination.serving.CrashDetector;
import org.cactusshift.internal.coordination.serving.ServiceReachability;
import org.cactusshift.internal.coordination.serving.Upstream;
import org.cactusshift.internal.coordination.serving.UpstreamDirectory;

/**
 * Finds out, by opening connections, whether an upstream is down, and whether the upstream or the links of this node
 * are the cause.
 *
 * <p>Without a check, the node would learn of a crash only from its next request to the upstream, or seconds later from
 * the store. An upstream counts as crashed only if others near it can be reached: otherwise this node is cut off, and
 * the requests that it lost say nothing about the upstream.
 */
final class UpstreamCheck {
    /**
     * Time after which the connection of a check must still be open; a crashing process may accept connections until
     * its last socket is closed.
     */
    private static final long CONFIRMATION_MILLIS = 300;

    /** Maximum number of connections that are opened after a lost attempt. */
    private static final int MAXIMUM_CONNECTIONS = 3;

    /** Time after which others are compared; the links of this node may be lost one after the other. */
    private static final long COMPARISON_DELAY_MILLIS = 100;

    /** Maximum number of other upstreams of one kind that are tried, to see whether any of them can be reached. */
    private static final int MAXIMUM_REFERENCES = 3;

    private final Dependencies dependencies;

    /** The upstreams that are being checked. */
    private final Set<UpstreamId> checked = new HashSet<>();

    /** The upstreams that are down and whose references are being checked. */
    private final Set<UpstreamId> compared = new HashSet<>();

    private UpstreamCheck(Dependencies dependencies) {
        this.dependencies = dependencies;
    }

    /**
     * The components that a check uses and reports to.
     *
     * @param eventLoop the event loop
     * @param pool opens the connections, and keeps those that were opened
     * @param clock the monotonic clock
     * @param crashDetector is told of upstreams that are down
     * @param limits counts the connections
     * @param directory the upstreams
     * @param reachability is told of each connection that was opened, or could not be
     * @param log records lost and restored links
     * @param random the source of randomness
     */
    record Dependencies(
            EventLoop eventLoop,
            HttpConnectionPool pool,
            RelayClock clock,
            CrashDetector crashDetector,
            UpstreamRequestLimits limits,
            UpstreamDirectory directory,
            ServiceReachability reachability,
            EventLog log,
            RandomGenerator random) {}

    static UpstreamCheck create(Dependencies dependencies) {
        return new UpstreamCheck(dependencies);
    }

    /** Checks an upstream at which an attempt was lost, unless it is being checked. */
    void afterLostAttempt(Upstream upstream) {
        if (checked.add(upstream.id())) {
            connectAndConfirm(upstream, MAXIMUM_CONNECTIONS);
        }
    }

    /** Checks an upstream that is silent, unless it is being checked: the links to it may be cut. */
    void afterStall(Upstream upstream) {
        if (checked.add(upstream.id())) {
            connect(upstream, opened -> checked.remove(upstream.id()));
        }
    }

    private void connectAndConfirm(Upstream upstream, int remainingConnections) {
        connect(upstream, opened -> {
            if (opened == null) {
                checked.remove(upstream.id());
                return;
            }
            dependencies
                    .eventLoop()
                    .schedule(
                            () -> confirm(upstream, opened, remainingConnections - 1),
                            CONFIRMATION_MILLIS,
                            TimeUnit.MILLISECONDS);
        });
    }

    private void confirm(Upstream upstream, HttpClientConnection connection, int remainingConnections) {
        if (connection.isConnected() || remainingConnections == 0) {
            checked.remove(upstream.id());
        } else {
            connectAndConfirm(upstream, remainingConnections);
        }
    }

    /** Opens a connection, which the pool keeps; the receiver gets null when that fails. */
    private void connect(Upstream upstream, Consumer<HttpClientConnection> receiver) {
        if (upstream.rest().lasts(now())) {
            receiver.accept(null);
            return;
        }
        dependencies.limits().onSend(upstream.incarnation(), now());
        dependencies.pool().connect(upstream.entry().address(), connected -> {
            if (connected.isLeft()) {
                onConnectFailed(upstream);
                receiver.accept(null);
                return;
            }
            onConnected(upstream);
            dependencies.pool().release(connected.get());
            receiver.accept(connected.get());
        });
    }

    /** Records that a connection to an upstream was opened. */
    void onConnected(Upstream upstream) {
        ServiceId service = upstream.entry().service();
        if (dependencies.reachability().onConnected(service)) {
            dependencies
                    .log()
                    .event("service.reachable")
                    .with("service", service.value())
                    .with("upstream", upstream.id().value())
                    .write();
        }
    }

    /** Records that no connection to an upstream could be opened. */
    void onConnectFailed(Upstream upstream) {
        long now = now();
        upstream.onUnreachable(now, dependencies.random());
        if (!upstream.isLeaving()) {
            recordFailure(upstream, now);
            compareWithOthers(upstream);
        }
    }

    private void recordFailure(Upstream upstream, long now) {
        ServiceId service = upstream.entry().service();
        List<Upstream> accepting = dependencies.directory().acceptingWork(service);
        if (dependencies.reachability().onConnectFailed(service, upstream.id(), now)) {
            dependencies
                    .log()
                    .event("service.unreachable")
                    .with("service", service.value())
                    .with("upstream", upstream.id().value())
                    .with("upstreams", accepting.size())
                    .write();
            return;
        }
        accepting.stream()
                .filter(other -> dependencies.reachability().needsEvidence(service, other.id()))
                .filter(other -> !checked.contains(other.id()))
                .findAny()
                .ifPresent(this::afterStall);
    }

    /** Opens a connection to one upstream of each service that is unreachable, when that is due. */
    void probeUnreachableServices(long nowMillis) {
        for (ServiceId service : dependencies.reachability().takeDueProbes(nowMillis)) {
            List<Upstream> accepting = dependencies.directory().acceptingWork(service);
            if (!accepting.isEmpty()) {
                afterStall(accepting.get(dependencies.random().nextInt(accepting.size())));
            }
        }
    }

    /**
     * Reports an upstream as crashed if one of the others in its failure domain and one of the others of its service
     * can be reached, as far as there are others that are not known to be down.
     */
    private void compareWithOthers(Upstream upstream) {
        if (dependencies.crashDetector().hasLostAttempts(upstream.id(), now()) && compared.add(upstream.id())) {
            dependencies
                    .eventLoop()
                    .schedule(() -> findReferences(upstream), COMPARISON_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void findReferences(Upstream upstream) {
        List<Upstream> neighbours = references(
                upstream,
                other -> other.entry().domain().equals(upstream.entry().domain()));
        List<Upstream> equals = references(
                upstream,
                other -> other.entry().service().equals(upstream.entry().service()));
        findReachable(neighbours.iterator(), neighbours.isEmpty(), neighbourReached -> {
            if (neighbourReached) {
                findReachable(equals.iterator(), equals.isEmpty(), equalReached -> conclude(upstream, equalReached));
            } else {
                conclude(upstream, false);
            }
        });
    }

    private void conclude(Upstream upstream, boolean isCrash) {
        compared.remove(upstream.id());
        boolean isLinkLost = dependencies.reachability().hasLostLinks()
                || dependencies.crashDetector().lostAttemptsAtManyUpstreams(now());
        if (isCrash && !isLinkLost) {
            dependencies.crashDetector().onUpstreamDown(upstream.id(), now());
        } else {
            dependencies
                    .log()
                    .event("upstream.linkLost")
                    .with("upstream", upstream.id().value())
                    .write();
        }
    }

    private List<Upstream> references(Upstream upstream, Predicate<Upstream> isReference) {
        List<Upstream> references = new ArrayList<>();
        for (Upstream other : dependencies.directory().all()) {
            boolean isUsable = other != upstream && !other.isLeaving() && other.isUp(now());
            if (isUsable && isReference.test(other) && references.size() < MAXIMUM_REFERENCES) {
                references.add(other);
            }
        }
        return references;
    }

    /** Connects to upstreams in turn until a connection is opened. */
    private void findReachable(Iterator<Upstream> references, boolean found, Consumer<Boolean> receiver) {
        if (found || !references.hasNext()) {
            receiver.accept(found);
            return;
        }
        Upstream reference = references.next();
        connect(reference, opened -> findReachable(references, opened != null, receiver));
    }

    private long now() {
        return dependencies.clock().monotonicMillis();
    }
}
