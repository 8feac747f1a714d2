package org.cactusshift.internal.coordination.store;

/** A fault injected into one call to an {@link InMemoryKeyValueStore}. */
public enum StoreFault {
    /** No fault. */
    NONE,
    /** The store refuses the call; it has no effect. */
    UNAVAILABLE,
    /** The request is lost: the call has no effect, but the caller can't know that. */
    LOSE_REQUEST,
    /** The call takes effect and its response is lost. */
    LOSE_ANSWER,
    /** The response is lost and the write is delayed until {@link InMemoryKeyValueStore#applyDelayed()}. */
    DELAY_EFFECT
}
