package org.cactusshift.node.internal;

import io.vavr.control.Either;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.claim.ClaimHolderClient;
import org.cactusshift.internal.coordination.lease.DutyHolder;
import org.cactusshift.internal.transport.peer.PeerClient;
import org.cactusshift.messages.ClaimRequest;
import org.cactusshift.messages.ClaimResponse;
import org.cactusshift.messages.RecordOutcomeRequest;
import org.cactusshift.messages.RecordOutcomeResponse;

/** Claims calls at other nodes over gRPC. */
public final class GrpcClaimOwnerClient implements ClaimHolderClient {
    private final PeerClient connections;

    private GrpcClaimOwnerClient(PeerClient connections) {
        this.connections = connections;
    }

    /**
     * Returns the peers.
     *
     * @param connections the connections to other nodes
     * @return the peers
     */
    public static GrpcClaimOwnerClient over(PeerClient connections) {
        return new GrpcClaimOwnerClient(connections);
    }

    @Override
    public Either<Failure, ClaimResponse> claim(DutyHolder owner, ClaimRequest request, long timeoutMillis) {
        return connections.call(owner.peerAddress(), "claim", timeoutMillis, stub -> stub.claim(request));
    }

    @Override
    public Either<Failure, RecordOutcomeResponse> recordOutcome(
            DutyHolder owner, RecordOutcomeRequest request, long timeoutMillis) {
        return connections.call(
                owner.peerAddress(), "record outcome", timeoutMillis, stub -> stub.recordOutcome(request));
    }
}
