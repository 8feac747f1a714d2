package org.cactusshift.node.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.change.DrainResponse;
import org.cactusshift.internal.coordination.membership.Member;
import org.cactusshift.internal.coordination.membership.MembershipTable;
import org.cactusshift.internal.transport.peer.PeerClient;
import org.cactusshift.messages.DrainRequest;
import org.cactusshift.messages.DrainStatus;
import org.cactusshift.messages.Sender;

/**
 * Asks this node and every peer that is not gone to drain an engine, that is to send it no new attempts.
 *
 * @param sender identifies this node to the peers
 * @param membership lists the peers
 * @param peerClient calls the peers
 * @param drains starts and ends drains on this node
 * @param workers runs the blocking calls to peers
 * @param monotonicMillis the monotonic clock
 */
record DrainCoordinator(
        Sender sender,
        MembershipTable membership,
        PeerClient peerClient,
        UpstreamDrains drains,
        Executor workers,
        LongSupplier monotonicMillis) {
    private static final long DRAIN_CALL_TIMEOUT_MILLIS = 1_000;

    /**
     * Asks all nodes concurrently to start or renew the drain of an engine. Blocks until each has responded or its call
     * has failed, and returns one response for each; {@link DrainResponse#MISSING} stands for a node whose call failed.
     */
    List<DrainResponse> requestDrain(UpstreamId engine, long configVersion) {
        DrainRequest request = DrainRequest.newBuilder()
                .setSender(sender)
                .setUpstreamId(engine.value())
                .setConfigVersion(configVersion)
                .build();
        List<CompletableFuture<DrainResponse>> calls = sendToPeers(request);
        List<DrainResponse> responses = new ArrayList<>();
        responses.add(drains.startOrRenew(engine, configVersion));
        calls.forEach(call -> responses.add(call.join()));
        return responses;
    }

    /** Ends the drain on all nodes. On a peer that does not receive the call, the drain expires. */
    void end(UpstreamId engine) {
        drains.end(engine);
        sendToPeers(DrainRequest.newBuilder()
                .setSender(sender)
                .setUpstreamId(engine.value())
                .setEnded(true)
                .build());
    }

    private List<CompletableFuture<DrainResponse>> sendToPeers(DrainRequest request) {
        return membership.members(monotonicMillis.getAsLong()).stream()
                .filter(member -> member.state() != Member.State.GONE)
                .map(member -> CompletableFuture.supplyAsync(() -> call(member, request), workers))
                .toList();
    }

    private DrainResponse call(Member member, DrainRequest request) {
        return peerClient
                .call(member.peerAddress(), "drain", DRAIN_CALL_TIMEOUT_MILLIS, stub -> stub.acknowledgeDrain(request))
                .fold(failure -> DrainResponse.MISSING, DrainCoordinator::toDrainResponse);
    }

    private static DrainResponse toDrainResponse(DrainStatus status) {
        Optional<UpstreamId> conflictingEngine = status.getHeldFor().isEmpty()
                ? Optional.empty()
                : Optional.of(UpstreamId.fromString(status.getHeldFor()));
        return new DrainResponse(status.getAcknowledged(), status.getInFlight(), conflictingEngine);
    }
}
