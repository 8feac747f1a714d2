package org.cactusshift.internal.coordination.store;

/** Injects faults into the calls to an {@link InMemoryKeyValueStore}. May block to delay a call. */
@FunctionalInterface
public interface StoreFaultInjector {
    /** Injects no faults. */
    StoreFaultInjector NONE = (kind, key) -> StoreFault.NONE;

    /**
     * Returns the fault of the next call.
     *
     * @param kind the kind of the call
     * @param key the key or prefix; the lease id for lease calls
     * @return the fault to inject
     */
    StoreFault next(StoreCallKind kind, String key);
}
