package org.cactusshift.pgm.bench;

import java.util.Arrays;
import org.cactusshift.internal.coordination.store.BudgetedKeyValueStore;
import org.cactusshift.internal.coordination.store.KeyValueStore;
import org.cactusshift.internal.coordination.store.StoreBudget;
import org.cactusshift.internal.coordination.store.StoreCallKind;

/**
 * Counts the calls to a key-value store.
 *
 * @param countedStore the store whose calls are counted, with a budget that is never reached
 */
record CountingStore(BudgetedKeyValueStore countedStore) {
    /** Calls per second. */
    private static final double UNLIMITED = 1e9;

    static CountingStore of(KeyValueStore store) {
        return new CountingStore(
                BudgetedKeyValueStore.create(store, StoreBudget.of(UNLIMITED, UNLIMITED), System::nanoTime));
    }

    /** Returns the number of calls that change the store, lease calls included. */
    long writes() {
        return Arrays.stream(StoreCallKind.values())
                .filter(StoreCallKind::isWrite)
                .mapToLong(countedStore::calls)
                .sum();
    }

    long reads() {
        return countedStore.calls(StoreCallKind.GET) + countedStore.calls(StoreCallKind.LIST);
    }

    /** Returns the total size, in bytes, of the keys and values under a prefix. */
    static long storedBytes(KeyValueStore source, String prefix) {
        return source.list(prefix).get().values().stream()
                .mapToLong(value -> value.key().length() + value.value().length)
                .sum();
    }
}
