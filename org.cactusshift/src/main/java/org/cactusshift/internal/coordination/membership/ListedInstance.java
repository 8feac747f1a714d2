package org.cactusshift.internal.coordination.membership;

import java.util.Objects;
import org.cactusshift.id.FailureDomainId;

/**
 * An entry of the platform's instance list.
 *
 * @param id the id in the list: an instance id or, for an upstream, an upstream id
 * @param kind the kind of process that the instance runs
 * @param address the address for requests: from callers to a node, or from nodes to an upstream
 * @param peerAddress the address of a node for calls from other nodes; empty for an upstream
 * @param failureDomain its failure domain
 * @param leaving whether the platform is about to remove the instance
 */
public record ListedInstance(
        String id, Kind kind, String address, String peerAddress, FailureDomainId failureDomain, boolean leaving) {
    /** The kind of process that a listed instance runs. */
    public enum Kind {
        /** A node of this system. */
        ENTRY,
        /** An upstream: a model engine or a plain service. */
        UPSTREAM
    }

    /** Checks that no component is null. */
    public ListedInstance {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(peerAddress, "peerAddress");
        Objects.requireNonNull(failureDomain, "failureDomain");
    }
}
