package org.cactusshift.internal.coordination.serving;

/** How often the requests of a route may be executed, and the form of their responses. */
public enum RequestKind {
    /** The request may be executed any number of times. */
    REPEATABLE,
    /** The request may be executed at most once. */
    NOT_REPEATABLE,
    /** The response is a stream of events; the request is executed at most once unless the route is resumable. */
    STREAM
}
