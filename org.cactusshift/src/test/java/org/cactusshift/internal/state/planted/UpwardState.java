package org.cactusshift.internal.state.planted;

import org.cactusshift.internal.coordination.configsync.VersionedConfig;

/** Depends on a higher layer, in deliberate violation of the architecture rules. */
public final class UpwardState {
    /** The dependency on the coordination layer. */
    VersionedConfig installed;
}
