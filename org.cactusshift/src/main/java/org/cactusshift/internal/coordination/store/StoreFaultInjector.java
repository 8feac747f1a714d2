package org.cactusshift.internal.coordination.store;

/** Chooses the fault of each call to an {@link InMemoryKeyValueStore}. May block in order to slow a call down. */
@FunctionalInterface
public interface StoreFaultInjector {
    /** Chooses no fault. */
    StoreFaultInjector NONE = (kind, key) -> StoreFault.NONE;

    /**
     * Chooses the fault of the next call.
     *
     * @param kind the kind of the call
     * @param key the key or prefix; the number of the lease for lease calls
     * @return the fault
     */
    StoreFault next(StoreCallKind kind, String key);
}
