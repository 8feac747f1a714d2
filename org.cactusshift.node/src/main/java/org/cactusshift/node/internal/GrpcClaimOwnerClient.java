package org.cactusshift.node.internal;

import io.vavr.control.Either;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.claim.ClaimOwnerClient;
import org.cactusshift.internal.coordination.lease.DutyHolder;
import org.cactusshift.internal.transport.peer.PeerClient;
import org.cactusshift.messages.ClaimRequest;
import org.cactusshift.messages.ClaimResponse;
import org.cactusshift.messages.RecordOutcomeRequest;
import org.cactusshift.messages.RecordOutcomeResponse;

/** Sends claims and their outcomes to the owners of claim shards over gRPC. */
public final class GrpcClaimOwnerClient implements ClaimOwnerClient {
    private final PeerClient peerClient;

    private GrpcClaimOwnerClient(PeerClient peerClient) {
        this.peerClient = peerClient;
    }

    /**
     * Returns a client that uses the given peer client.
     *
     * @param peerClient calls the peers
     * @return the client
     */
    public static GrpcClaimOwnerClient over(PeerClient peerClient) {
        return new GrpcClaimOwnerClient(peerClient);
    }

    @Override
    public Either<Failure, ClaimResponse> claim(DutyHolder owner, ClaimRequest request, long timeoutMillis) {
        return peerClient.call(owner.peerAddress(), "claim", timeoutMillis, stub -> stub.claim(request));
    }

    @Override
    public Either<Failure, RecordOutcomeResponse> recordOutcome(
            DutyHolder owner, RecordOutcomeRequest request, long timeoutMillis) {
        return peerClient.call(
                owner.peerAddress(), "record outcome", timeoutMillis, stub -> stub.recordOutcome(request));
    }
}
