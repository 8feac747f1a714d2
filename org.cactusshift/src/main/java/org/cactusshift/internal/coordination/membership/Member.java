package org.cactusshift.internal.coordination.membership;

import java.util.Objects;
import java.util.Optional;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.InstanceId;

/**
 * Another node, in the state in which this node sees it.
 *
 * @param id the instance on which it runs
 * @param failureDomain its failure domain
 * @param peerAddress its address for calls from other nodes
 * @param incarnation its current incarnation; empty until its first heartbeat
 * @param state its state as seen by this node
 */
public record Member(
        InstanceId id,
        FailureDomainId failureDomain,
        String peerAddress,
        Optional<IncarnationId> incarnation,
        State state) {
    /** The state of a member as seen by this node. May be wrong: it must not decide which node holds a duty. */
    public enum State {
        /** A heartbeat was received recently. */
        LIVE,
        /** No heartbeat was received for the suspicion time, or none ever. */
        SUSPECT,
        /** It is shutting down, or the platform is about to remove it; it must get no new work. */
        LEAVING,
        /** It left, or it has stopped responding and the platform no longer lists it. */
        GONE
    }

    /** Checks that no component is null. */
    public Member {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(peerAddress, "peerAddress");
        Objects.requireNonNull(incarnation, "incarnation");
        Objects.requireNonNull(state, "state");
    }
}
