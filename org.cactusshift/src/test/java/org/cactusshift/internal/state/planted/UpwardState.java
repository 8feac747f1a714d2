package org.cactusshift.internal.state.planted;

import org.cactusshift.internal.coordination.configsync.VersionedConfig;

/** Uses a higher layer on purpose. */
public final class UpwardState {
    /** The dependency. */
    VersionedConfig installed;
}
