package org.cactusshift.internal.coordination.change;

import java.util.Objects;
import org.cactusshift.config.UpstreamConfig;

/**
 * The status that an engine reports.
 *
 * @param version the loaded version
 * @param role the current role
 * @param changing whether the engine has an outstanding order
 */
public record EngineStatus(String version, UpstreamConfig.Role role, boolean changing) {
    /** Rejects missing components. */
    public EngineStatus {
        Objects.requireNonNull(version, "version");
        Objects.requireNonNull(role, "role");
    }
}
