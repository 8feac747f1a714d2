package org.cactusshift.node.internal;

import io.vavr.control.Either;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.lease.DutyHolder;
import org.cactusshift.internal.coordination.usage.UsageBatchSender;
import org.cactusshift.internal.transport.peer.PeerClient;
import org.cactusshift.messages.UsageAck;
import org.cactusshift.messages.UsageBatch;

/** Hands usage counts over to the holders of usage shards over gRPC. */
public final class GrpcUsageBatchSender implements UsageBatchSender {
    private static final long HAND_OVER_TIMEOUT_MILLIS = 1_000;

    private final PeerClient peerClient;

    private GrpcUsageBatchSender(PeerClient peerClient) {
        this.peerClient = peerClient;
    }

    /**
     * Returns a sender that uses the given peer client.
     *
     * @param peerClient calls the peers
     * @return the sender
     */
    public static GrpcUsageBatchSender over(PeerClient peerClient) {
        return new GrpcUsageBatchSender(peerClient);
    }

    @Override
    public Either<Failure, UsageAck> send(DutyHolder holder, UsageBatch batch) {
        return peerClient.call(
                holder.peerAddress(), "hand over usage", HAND_OVER_TIMEOUT_MILLIS, stub -> stub.handOverUsage(batch));
    }
}
