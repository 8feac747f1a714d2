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
     * @param key the key or prefix; the lease id for renewals and revocations, empty for grants of leases
     * @return the fault to inject
     */
    StoreFault nextFault(StoreCallKind kind, String key);
}
