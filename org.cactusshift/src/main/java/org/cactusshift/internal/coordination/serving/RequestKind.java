package org.cactusshift.internal.coordination.serving;

/** What may be done with a request of a route. */
public enum RequestKind {
    /** May run any number of times. */
    REPEATABLE,
    /** May run once at most. */
    NOT_REPEATABLE,
    /** Answered by a series of events; runs once at most unless its route lets it be resumed. */
    STREAM
}
