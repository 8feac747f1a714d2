package org.cactusshift.internal.coordination.change;

import java.util.Objects;
import java.util.Optional;
import org.cactusshift.config.UpstreamConfig;

/**
 * A declared engine and what it said about itself.
 *
 * @param engine the engine as declared
 * @param status what it said; empty when it could not be asked
 */
public record EngineReport(UpstreamConfig engine, Optional<EngineStatus> status) {
    /** Checks that no part is missing. */
    public EngineReport {
        Objects.requireNonNull(engine, "engine");
        Objects.requireNonNull(status, "status");
    }

    boolean isChanging() {
        return status.filter(EngineStatus::changing).isPresent();
    }

    boolean isServing() {
        return status.isPresent() && !isChanging() && !engine.draining();
    }
}
