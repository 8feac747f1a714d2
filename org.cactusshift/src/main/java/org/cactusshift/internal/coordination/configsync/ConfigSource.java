package org.cactusshift.internal.coordination.configsync;

import java.util.Optional;
import java.util.function.Consumer;

/** Provides the active configuration of this node, which is the newest one installed on it. */
public interface ConfigSource {
    /**
     * Returns the active configuration.
     *
     * @return the active configuration, or empty when no configuration has been installed yet
     */
    Optional<VersionedConfig> active();

    /**
     * Registers a listener; it is called immediately with the active configuration, if there is one, then with each
     * newer one, in ascending order of versions.
     *
     * @param listener the listener
     */
    void subscribe(Consumer<VersionedConfig> listener);
}
