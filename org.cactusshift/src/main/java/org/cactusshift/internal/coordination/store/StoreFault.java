package org.cactusshift.internal.coordination.store;

/** What goes wrong with one call to an {@link InMemoryKeyValueStore}. */
public enum StoreFault {
    /** Nothing. */
    NONE,
    /** The call is refused without effect. */
    UNAVAILABLE,
    /** The request is lost: no effect, but the caller cannot know. */
    LOSE_REQUEST,
    /** The call takes effect and its answer is lost. */
    LOSE_ANSWER,
    /** The answer is lost and the write waits until {@link InMemoryKeyValueStore#applyDelayed()}. */
    DELAY_EFFECT
}
