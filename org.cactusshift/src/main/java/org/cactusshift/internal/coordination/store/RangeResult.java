package org.cactusshift.internal.coordination.store;

import java.util.List;

/**
 * The values under a prefix at one revision.
 *
 * @param revision the store revision at which the range was read
 * @param values the values, sorted by key
 */
public record RangeResult(long revision, List<VersionedValue> values) {
    /** Copies the list. */
    public RangeResult {
        values = List.copyOf(values);
    }
}
