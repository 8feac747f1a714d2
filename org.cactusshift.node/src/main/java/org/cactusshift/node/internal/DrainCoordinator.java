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
 * Asks this node and each other one that is not known to be gone to keep new work away from an engine.
 *
 * @param sender this node
 * @param membership the other nodes
 * @param connections the connections to them
 * @param drains the drains of this node
 * @param workers runs the calls
 * @param clockMillis the monotonic clock
 */
record DrainCoordinator(
        Sender sender,
        MembershipTable membership,
        PeerClient connections,
        UpstreamDrains drains,
        Executor workers,
        LongSupplier clockMillis) {
    private static final long TIMEOUT_MILLIS = 1_000;

    /** Asks all at once and returns an answer for each. */
    List<DrainResponse> requestDrain(UpstreamId engine, long configVersion) {
        DrainRequest request = DrainRequest.newBuilder()
                .setSender(sender)
                .setUpstreamId(engine.value())
                .setConfigVersion(configVersion)
                .build();
        List<CompletableFuture<DrainResponse>> calls = sendToPeers(request);
        List<DrainResponse> answers = new ArrayList<>();
        answers.add(drains.acknowledge(engine, configVersion));
        calls.forEach(call -> answers.add(call.join()));
        return answers;
    }

    /** Lets work resume; a node that does not hear it resumes by itself. */
    void end(UpstreamId engine) {
        drains.end(engine);
        sendToPeers(DrainRequest.newBuilder()
                .setSender(sender)
                .setUpstreamId(engine.value())
                .setEnded(true)
                .build());
    }

    private List<CompletableFuture<DrainResponse>> sendToPeers(DrainRequest request) {
        return membership.members(clockMillis.getAsLong()).stream()
                .filter(member -> member.state() != Member.State.GONE)
                .map(member -> CompletableFuture.supplyAsync(() -> call(member, request), workers))
                .toList();
    }

    private DrainResponse call(Member member, DrainRequest request) {
        return connections
                .call(member.peerAddress(), "drain", TIMEOUT_MILLIS, stub -> stub.acknowledgeDrain(request))
                .fold(failure -> DrainResponse.MISSING, DrainCoordinator::toDrainResponse);
    }

    private static DrainResponse toDrainResponse(DrainStatus status) {
        Optional<UpstreamId> heldFor = status.getHeldFor().isEmpty()
                ? Optional.empty()
                : Optional.of(UpstreamId.fromString(status.getHeldFor()));
        return new DrainResponse(status.getAcknowledged(), status.getInFlight(), heldFor);
    }
}
