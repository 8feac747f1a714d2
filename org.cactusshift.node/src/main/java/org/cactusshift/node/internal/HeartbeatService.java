package org.cactusshift.node.internal;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.cactusshift.internal.coordination.membership.Member;
import org.cactusshift.internal.coordination.membership.PeerSelection;
import org.cactusshift.internal.transport.peer.PeerClient;
import org.cactusshift.messages.HeartbeatRequest;

/**
 * Sends heartbeats to selected members and, while fewer than {@link PeerSelection#FULL_MESH_MAX_NODES} other nodes are
 * known, also to the peer addresses of the settings.
 */
final class HeartbeatService implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(HeartbeatService.class.getName());

    private final NodeIdentity self;
    private final HeartbeatExchange exchange;
    private final PeerClient peerClient;
    private final DeferredCoordination coordination;
    private final PeerSelection selection;
    private final ExecutorService workers;
    private final LongSupplier monotonicMillis;
    private final Set<String> addressesInFlight = ConcurrentHashMap.newKeySet();
    private final ScheduledFuture<?> timer;
    private final long timeoutMillis;

    private HeartbeatService(Dependencies dependencies, long periodMillis, long timeoutMillis) {
        this.self = dependencies.self();
        this.exchange = dependencies.exchange();
        this.peerClient = dependencies.peerClient();
        this.coordination = dependencies.coordination();
        this.workers = dependencies.workers();
        this.monotonicMillis = dependencies.monotonicMillis();
        this.timeoutMillis = timeoutMillis;
        this.selection =
                PeerSelection.of(self.settings().instanceId(), self.settings().failureDomain());
        this.timer = dependencies
                .scheduler()
                .scheduleAtFixedRate(this::sendHeartbeats, 0, periodMillis, TimeUnit.MILLISECONDS);
    }

    /** The dependencies of the service. */
    record Dependencies(
            NodeIdentity self,
            HeartbeatExchange exchange,
            PeerClient peerClient,
            DeferredCoordination coordination,
            ExecutorService workers,
            ScheduledExecutorService scheduler,
            LongSupplier monotonicMillis) {}

    /** Starts to send heartbeats periodically; {@code timeoutMillis} is the timeout of each heartbeat call. */
    static HeartbeatService start(Dependencies dependencies, long periodMillis, long timeoutMillis) {
        return new HeartbeatService(dependencies, periodMillis, timeoutMillis);
    }

    /**
     * Marks this node as leaving and sends heartbeats immediately, except to a peer to which an earlier one is still in
     * flight.
     */
    void announceLeaving() {
        exchange.setLeaving();
        sendHeartbeats();
    }

    private void sendHeartbeats() {
        try {
            List<Member> members = exchange.refreshMembers(coordination);
            Set<String> addresses = new LinkedHashSet<>();
            selection.select(members).forEach(member -> addresses.add(member.peerAddress()));
            if (members.size() < PeerSelection.FULL_MESH_MAX_NODES) {
                addresses.addAll(self.settings().peerAddresses());
            }
            addresses.remove(self.peerAddress());
            HeartbeatRequest request = exchange.nextRequest();
            addresses.forEach(address -> send(address, request));
        } catch (RuntimeException e) {
            // Caught so that the periodic task continues; an exception here is a defect, not a failure of a peer.
            LOG.log(System.Logger.Level.ERROR, "sending heartbeats failed; the next period tries again", e);
        }
    }

    /** Sends unless a heartbeat to the address is still in flight, so that a slow peer blocks one thread at most. */
    private void send(String address, HeartbeatRequest request) {
        if (!addressesInFlight.add(address)) {
            return;
        }
        try {
            workers.execute(() -> call(address, request));
        } catch (RejectedExecutionException e) {
            addressesInFlight.remove(address);
        }
    }

    private void call(String address, HeartbeatRequest request) {
        try {
            long sentAtMillis = monotonicMillis.getAsLong();
            peerClient
                    .call(address, "heartbeat", timeoutMillis, stub -> stub.heartbeat(request))
                    .peek(response -> exchange.onResponse(response, sentAtMillis))
                    .peekLeft(failure -> LOG.log(System.Logger.Level.DEBUG, failure::toString));
        } catch (RuntimeException e) {
            LOG.log(
                    System.Logger.Level.ERROR,
                    "heartbeat failed unexpectedly; the next period tries again: " + address,
                    e);
        } finally {
            addressesInFlight.remove(address);
        }
    }

    @Override
    public void close() {
        timer.cancel(false);
    }
}
