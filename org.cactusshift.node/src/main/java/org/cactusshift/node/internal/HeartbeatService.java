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

/** Sends heartbeats to the selected members and to the peer addresses of the settings. */
final class HeartbeatService implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(HeartbeatService.class.getName());

    private final NodeIdentity self;
    private final HeartbeatExchange exchange;
    private final PeerClient connections;
    private final DeferredCoordination coordination;
    private final PeerSelection selection;
    private final ExecutorService workers;
    private final LongSupplier clockMillis;
    private final Set<String> addressesInFlight = ConcurrentHashMap.newKeySet();
    private final ScheduledFuture<?> timer;
    private final long timeoutMillis;

    private HeartbeatService(Dependencies parts, long periodMillis, long timeoutMillis) {
        this.self = parts.self();
        this.exchange = parts.exchange();
        this.connections = parts.connections();
        this.coordination = parts.coordination();
        this.workers = parts.workers();
        this.clockMillis = parts.clockMillis();
        this.timeoutMillis = timeoutMillis;
        this.selection =
                PeerSelection.of(self.settings().instanceId(), self.settings().failureDomain());
        this.timer =
                parts.scheduler().scheduleAtFixedRate(this::sendHeartbeats, 0, periodMillis, TimeUnit.MILLISECONDS);
    }

    /** What the service works with. */
    record Dependencies(
            NodeIdentity self,
            HeartbeatExchange exchange,
            PeerClient connections,
            DeferredCoordination coordination,
            ExecutorService workers,
            ScheduledExecutorService scheduler,
            LongSupplier clockMillis) {}

    /** Starts to send. */
    static HeartbeatService start(Dependencies parts, long periodMillis, long timeoutMillis) {
        return new HeartbeatService(parts, periodMillis, timeoutMillis);
    }

    /** Tells the peers at once that this node leaves. */
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
            // The next period goes on; an exception here is a defect, not a failure of a peer.
            LOG.log(System.Logger.Level.ERROR, "heartbeat", e);
        }
    }

    /** Sends unless the last heartbeat to the address is still open: a slow peer must not gather threads. */
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
            long askedMillis = clockMillis.getAsLong();
            connections
                    .call(address, "heartbeat", timeoutMillis, stub -> stub.heartbeat(request))
                    .peek(response -> exchange.onResponse(response, askedMillis))
                    .peekLeft(failure -> LOG.log(System.Logger.Level.DEBUG, failure::toString));
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "heartbeat to " + address, e);
        } finally {
            addressesInFlight.remove(address);
        }
    }

    @Override
    public void close() {
        timer.cancel(false);
    }
}
