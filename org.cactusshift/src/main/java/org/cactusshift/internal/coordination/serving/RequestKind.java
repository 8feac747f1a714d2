package org.cactusshift.internal.coordination.serving;

/** The kind of a route's requests: whether they may be executed more than once, or get a stream as response. */
public enum RequestKind {
    /** The request may be executed any number of times. */
    REPEATABLE,
    /** The request may be executed at most once. */
    NOT_REPEATABLE,
    /** The response is a stream of events; the request is executed at most once unless the route is resumable. */
    STREAM
}
