package org.cactusshift.internal.coordination.membership;

import java.util.Objects;
import org.cactusshift.id.FailureDomainId;

/**
 * One entry of the platform's list of instances.
 *
 * @param id the id in the list; an instance id or, for an upstream, its upstream id
 * @param kind what the instance runs
 * @param address where callers or nodes send work
 * @param peerAddress where an entry instance takes calls of other nodes; empty for an upstream
 * @param failureDomain its failure domain
 * @param leaving whether the platform is about to take it away
 */
public record ListedInstance(
        String id, Kind kind, String address, String peerAddress, FailureDomainId failureDomain, boolean leaving) {
    /** What a listed instance runs. */
    public enum Kind {
        /** A node of this system. */
        ENTRY,
        /** A model engine or a plain service. */
        UPSTREAM
    }

    /** Checks that no part is missing. */
    public ListedInstance {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(peerAddress, "peerAddress");
        Objects.requireNonNull(failureDomain, "failureDomain");
    }
}
