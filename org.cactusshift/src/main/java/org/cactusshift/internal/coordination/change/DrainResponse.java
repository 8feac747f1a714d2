package org.cactusshift.internal.coordination.change;

import java.util.Objects;
import java.util.Optional;
import org.cactusshift.id.UpstreamId;

/**
 * What a node answered to the request to keep new work away from an engine.
 *
 * @param acknowledged whether it does so, under the configuration of the asker or a newer one
 * @param inFlight the requests that it still has on the engine
 * @param conflictingEngine the other engine of the service whose drain made the node decline, if one did
 */
public record DrainResponse(boolean acknowledged, int inFlight, Optional<UpstreamId> conflictingEngine) {
    /** The answer of a node that could not be reached, or that has an older configuration. */
    public static final DrainResponse MISSING = new DrainResponse(false, 0, Optional.empty());

    /** Checks that no part is missing. */
    public DrainResponse {
        Objects.requireNonNull(conflictingEngine, "heldFor");
    }

    /**
     * Returns the answer of a node that keeps new work away.
     *
     * @param inFlight the requests that it still has on the engine
     * @return the answer
     */
    public static DrainResponse acknowledged(int inFlight) {
        return new DrainResponse(true, inFlight, Optional.empty());
    }

    /**
     * Returns the answer of a node that drains another engine of the service.
     *
     * @param other the other engine
     * @return the answer
     */
    public static DrainResponse declinedFor(UpstreamId other) {
        return new DrainResponse(false, 0, Optional.of(other));
    }

    boolean isQuiet() {
        return acknowledged && inFlight == 0;
    }
}
