package org.cactusshift.node.internal;

import java.security.SecureRandom;
import java.util.HexFormat;
import org.cactusshift.config.NodeSettings;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.internal.coordination.lease.DutyHolder;
import org.cactusshift.messages.Sender;

/**
 * This node as peers and the key-value store identify it, with its settings.
 *
 * @param settings the settings of the process
 * @param incarnation the incarnation of this process
 * @param peerAddress the address that peers connect to, with the port that was bound
 */
public record NodeIdentity(NodeSettings settings, IncarnationId incarnation, String peerAddress) {
    private static final int INCARNATION_BYTES = 8;
    private static final long NO_LEASE = 0;

    /**
     * Returns a new random incarnation, 64 bits, which distinguishes this process from earlier ones of the instance.
     *
     * @return the incarnation
     */
    public static IncarnationId newIncarnation() {
        byte[] bytes = new byte[INCARNATION_BYTES];
        new SecureRandom().nextBytes(bytes);
        return IncarnationId.fromString(HexFormat.of().formatHex(bytes));
    }

    /**
     * Returns this node as a holder of duties.
     *
     * @return the holder, without lease
     */
    public DutyHolder holder() {
        return new DutyHolder(settings.instanceId(), incarnation, peerAddress, NO_LEASE);
    }

    /**
     * Returns this node as the sender of a message.
     *
     * @return the sender
     */
    public Sender sender() {
        return Sender.newBuilder()
                .setInstanceId(settings.instanceId().value())
                .setIncarnationId(incarnation.value())
                .setFailureDomain(settings.failureDomain().value())
                .setPeerAddress(peerAddress)
                .build();
    }
}
