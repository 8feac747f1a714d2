package org.cactusshift.internal.coordination.membership;

import java.util.Objects;
import java.util.Optional;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.InstanceId;

/**
 * Another entry instance as this node sees it.
 *
 * @param id the instance
 * @param failureDomain its failure domain
 * @param peerAddress where it takes calls of other nodes
 * @param incarnation its present start; empty until it was heard
 * @param state what is known about it
 */
public record Member(
        InstanceId id,
        FailureDomainId failureDomain,
        String peerAddress,
        Optional<IncarnationId> incarnation,
        State state) {
    /** What is known about a member; suspicion only, no right follows from it. */
    public enum State {
        /** It was heard recently. */
        LIVE,
        /** It was not heard for the suspicion time, or never. */
        SUSPECT,
        /** It is shutting down and takes no new work. */
        LEAVING,
        /** It left, or it is silent and the platform no longer lists it. */
        GONE
    }

    /** Checks that no part is missing. */
    public Member {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(peerAddress, "peerAddress");
        Objects.requireNonNull(incarnation, "incarnation");
        Objects.requireNonNull(state, "state");
    }
}
