package org.cactusshift.internal.coordination.membership;

import java.util.Objects;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.InstanceId;

/**
 * The sender's state in a heartbeat or a heartbeat response.
 *
 * @param id the sender
 * @param incarnation the sender's current incarnation
 * @param failureDomain the sender's failure domain
 * @param peerAddress the sender's address for calls from other nodes
 * @param leaving whether the sender is shutting down
 */
public record PeerHeartbeat(
        InstanceId id, IncarnationId incarnation, FailureDomainId failureDomain, String peerAddress, boolean leaving) {
    /** Checks that no component is null. */
    public PeerHeartbeat {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(incarnation, "incarnation");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(peerAddress, "peerAddress");
    }
}
