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

/** Sends claims and their outcomes to the holders of claim shards over gRPC. */
public final class GrpcClaimHolderClient implements ClaimHolderClient {
    private final PeerClient peerClient;

    private GrpcClaimHolderClient(PeerClient peerClient) {
        this.peerClient = peerClient;
    }

    /**
     * Returns a client that uses the given peer client.
     *
     * @param peerClient calls the peers
     * @return the client
     */
    public static GrpcClaimHolderClient over(PeerClient peerClient) {
        return new GrpcClaimHolderClient(peerClient);
    }

    @Override
    public Either<Failure, ClaimResponse> claim(DutyHolder holder, ClaimRequest request, long timeoutMillis) {
        return peerClient.call(holder.peerAddress(), "claim", timeoutMillis, stub -> stub.claim(request));
    }

    @Override
    public Either<Failure, RecordOutcomeResponse> sendResolutions(
            DutyHolder holder, RecordOutcomeRequest request, long timeoutMillis) {
        return peerClient.call(
                holder.peerAddress(), "record outcome", timeoutMillis, stub -> stub.recordOutcome(request));
    }
}
