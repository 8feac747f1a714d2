package org.cactusshift.internal.coordination.change;

import java.util.Objects;
import org.cactusshift.config.UpstreamConfig;

/**
 * What an engine says about itself.
 *
 * @param version the version that it has loaded
 * @param role the role that it is in
 * @param changing whether an order runs on it
 */
public record EngineStatus(String version, UpstreamConfig.Role role, boolean changing) {
    /** Checks that no part is missing. */
    public EngineStatus {
        Objects.requireNonNull(version, "version");
        Objects.requireNonNull(role, "role");
    }
}
