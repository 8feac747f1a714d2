package org.cactusshift.node.internal;

import io.vavr.control.Either;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.lease.DutyHolder;
import org.cactusshift.internal.coordination.usage.UsageBatchSender;
import org.cactusshift.internal.transport.peer.PeerClient;
import org.cactusshift.messages.UsageAck;
import org.cactusshift.messages.UsageBatch;

/** Hands usage counts to other nodes over gRPC. */
public final class GrpcUsageBatchSender implements UsageBatchSender {
    private static final long TIMEOUT_MILLIS = 1_000;

    private final PeerClient connections;

    private GrpcUsageBatchSender(PeerClient connections) {
        this.connections = connections;
    }

    /**
     * Returns the peers.
     *
     * @param connections the connections to other nodes
     * @return the peers
     */
    public static GrpcUsageBatchSender over(PeerClient connections) {
        return new GrpcUsageBatchSender(connections);
    }

    @Override
    public Either<Failure, UsageAck> send(DutyHolder holder, UsageBatch batch) {
        return connections.call(
                holder.peerAddress(), "hand over usage", TIMEOUT_MILLIS, stub -> stub.handOverUsage(batch));
    }
}
