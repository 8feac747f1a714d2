package org.cactusshift.internal.coordination.change;

import java.util.Objects;
import java.util.Optional;
import org.cactusshift.config.UpstreamConfig;

/**
 * A declared engine with its reported status.
 *
 * @param engine the declared engine
 * @param status the reported status; empty when the engine could not be reached
 */
public record EngineReport(UpstreamConfig engine, Optional<EngineStatus> status) {
    /** Rejects missing components. */
    public EngineReport {
        Objects.requireNonNull(engine, "engine");
        Objects.requireNonNull(status, "status");
    }

    /** Returns whether the engine reports an outstanding order; false when it could not be reached. */
    boolean isChanging() {
        return status.filter(EngineStatus::changing).isPresent();
    }

    boolean isServing() {
        return status.isPresent() && !isChanging() && !engine.draining();
    }
}
