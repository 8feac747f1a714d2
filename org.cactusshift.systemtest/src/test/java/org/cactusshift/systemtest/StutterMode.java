package org.cactusshift.systemtest;

/** When an upstream of {@link StutterUpstreams} writes a second response. */
enum StutterMode {
    /** In the same write as the own response. */
    SAME_WRITE,
    /** 1 to 2,000 ms after the own response, idle or while the next request waits. */
    LATE,
    /** While no request waits on the connection. */
    IDLE,
    /** In front of the next response. */
    BEFORE_NEXT,
    /** Cut at a byte of its head; then the connection is closed, or the next response follows. */
    CUT,
    /** A byte each few milliseconds. */
    SLOW,
    /** Between interim responses. */
    INTERIM,
    /** After a first response that was written before the body of the request had been read. */
    EARLY,
    /** Between two chunks of the own response. */
    BETWEEN_CHUNKS
}
