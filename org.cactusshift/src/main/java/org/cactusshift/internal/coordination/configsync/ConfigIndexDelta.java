package org.cactusshift.internal.coordination.configsync;

import java.util.List;

/**
 * How an index differs from that of the version before.
 *
 * @param changed the parts that are new or have other bytes
 * @param removed the names of the parts that are no more
 */
public record ConfigIndexDelta(List<ConfigPartRef> changed, List<String> removed) {
    /** Copies the lists. */
    public ConfigIndexDelta {
        changed = List.copyOf(changed);
        removed = List.copyOf(removed);
    }
}
