package org.cactusshift.internal.coordination.configsync;

import java.util.Optional;
import java.util.function.Consumer;

/** The configuration in force at this node. */
public interface ConfigSource {
    /**
     * Returns the configuration in force.
     *
     * @return the configuration, or empty when the node has none yet
     */
    Optional<VersionedConfig> current();

    /**
     * Registers a listener; it is called at once with the current configuration if there is one, then for each newer
     * one, in the order of versions.
     *
     * @param listener the listener
     */
    void subscribe(Consumer<VersionedConfig> listener);
}
