package org.cactusshift.internal.coordination.configsync;

import java.util.List;

/**
 * The difference between an index and that of the previous version.
 *
 * @param changed the parts that are new or whose bytes changed
 * @param removed the names of the removed parts
 */
public record ConfigIndexDelta(List<ConfigPartRef> changed, List<String> removed) {
    /** Copies the lists. */
    public ConfigIndexDelta {
        changed = List.copyOf(changed);
        removed = List.copyOf(removed);
    }
}
