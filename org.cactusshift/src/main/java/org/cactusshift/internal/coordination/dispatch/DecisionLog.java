package org.cactusshift.internal.coordination.dispatch;

import java.util.ArrayDeque;
import java.util.List;

/** A ring buffer of the most recent decisions. */
final class DecisionLog {
    private static final int MAXIMUM_ENTRIES = 256;

    private final ArrayDeque<Explanation> entries = new ArrayDeque<>(MAXIMUM_ENTRIES);

    void add(Explanation explanation) {
        if (entries.size() == MAXIMUM_ENTRIES) {
            entries.removeFirst();
        }
        entries.addLast(explanation);
    }

    List<Explanation> entries() {
        return List.copyOf(entries);
    }
}
