package org.cactusshift.internal.coordination.change;

import java.util.Objects;
import java.util.Optional;
import org.cactusshift.id.UpstreamId;

/**
 * The response of a node to a drain request, which asks it to exclude an engine from new requests.
 *
 * @param acknowledged whether the node excludes the engine, under the configuration version of the requester or a newer
 *     one
 * @param inFlight the number of its requests still in flight on the engine
 * @param conflictingEngine the other engine of the service whose drain made the node decline, if any
 */
public record DrainResponse(boolean acknowledged, int inFlight, Optional<UpstreamId> conflictingEngine) {
    /** The response that stands for a node that could not be reached or has an older configuration. */
    public static final DrainResponse MISSING = new DrainResponse(false, 0, Optional.empty());

    /** Rejects missing components. */
    public DrainResponse {
        Objects.requireNonNull(conflictingEngine, "conflictingEngine");
    }

    /**
     * Returns the response of a node that excludes the engine from new requests.
     *
     * @param inFlight the number of its requests still in flight on the engine
     * @return the response
     */
    public static DrainResponse acknowledged(int inFlight) {
        return new DrainResponse(true, inFlight, Optional.empty());
    }

    /**
     * Returns the response of a node that is draining another engine of the service.
     *
     * @param other the other engine
     * @return the response
     */
    public static DrainResponse declinedFor(UpstreamId other) {
        return new DrainResponse(false, 0, Optional.of(other));
    }

    /** Returns whether the node excludes the engine and has no request in flight on it. */
    boolean isQuiet() {
        return acknowledged && inFlight == 0;
    }
}
