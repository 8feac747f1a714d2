package org.cactusshift.pgm.bench;

import java.util.Arrays;
import org.cactusshift.internal.coordination.store.BudgetedKeyValueStore;
import org.cactusshift.internal.coordination.store.KeyValueStore;
import org.cactusshift.internal.coordination.store.StoreBudget;
import org.cactusshift.internal.coordination.store.StoreCallKind;

/**
 * A key-value store that counts the calls to it.
 *
 * @param store the counting store, with an unlimited budget
 */
record CountingStore(BudgetedKeyValueStore store) {
    private static final double UNLIMITED = 1e9;

    static CountingStore of(KeyValueStore counted) {
        return new CountingStore(
                BudgetedKeyValueStore.create(counted, StoreBudget.of(UNLIMITED, UNLIMITED), System::nanoTime));
    }

    long writes() {
        return Arrays.stream(StoreCallKind.values())
                .filter(StoreCallKind::isWrite)
                .mapToLong(store::calls)
                .sum();
    }

    long reads() {
        return store.calls(StoreCallKind.GET) + store.calls(StoreCallKind.LIST);
    }

    /** Returns the total size, in bytes, of the keys and values under a prefix. */
    static long bytes(KeyValueStore source, String prefix) {
        return source.list(prefix).get().values().stream()
                .mapToLong(value -> value.key().length() + value.value().length)
                .sum();
    }
}
