package org.cactusshift.internal.coordination.membership;

import java.util.Objects;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.InstanceId;

/**
 * What a heartbeat or its answer says about its sender.
 *
 * @param id the sender
 * @param incarnation the sender's present start
 * @param failureDomain the sender's failure domain
 * @param peerAddress where the sender takes calls
 * @param leaving whether the sender is shutting down
 */
public record PeerHeartbeat(
        InstanceId id, IncarnationId incarnation, FailureDomainId failureDomain, String peerAddress, boolean leaving) {
    /** Checks that no part is missing. */
    public PeerHeartbeat {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(incarnation, "incarnation");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(peerAddress, "peerAddress");
    }
}
