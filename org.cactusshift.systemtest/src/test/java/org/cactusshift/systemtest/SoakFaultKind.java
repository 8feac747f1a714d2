package org.cactusshift.systemtest;

/** The kinds of fault that {@link SoakFaultInjector} injects. */
enum SoakFaultKind {
    /** Pauses a node process (SIGSTOP). */
    PAUSE,
    /** Kills a node process (SIGKILL) and starts a new one. */
    KILL,
    /** Terminates a node process (SIGTERM) and starts a new one. */
    TERMINATE,
    /** Makes a node process reload its settings (SIGHUP). */
    RELOAD_SETTINGS,
    /** Cuts the connections of callers to a node. */
    CALLERS_CUT,
    /** Stalls the open connections of callers to a node. */
    CALLERS_STALLED,
    /** Cuts the connections of a node to the store. */
    STORE_CUT,
    /** Holds back what the store sends to a node. */
    STORE_RESPONSES_HELD,
    /** Stalls the open connections of a node to the store. */
    STORE_STALLED,
    /** Delays the bytes between a node and the store. */
    STORE_SLOW,
    /** Drops the change history of the store, so that watchers have to read all keys again. */
    STORE_HISTORY_DROPPED,
    /** Makes the store unavailable. */
    STORE_AWAY,
    /** Cuts the connections of a node to the endpoint for usage reports. */
    PLATFORM_CUT,
    /** Cuts the connections of all nodes to an upstream. */
    UPSTREAM_CUT,
    /** Stalls the open connections of all nodes to an upstream. */
    UPSTREAM_STALLED,
    /** Holds back what an upstream sends to the nodes. */
    UPSTREAM_RESPONSES_HELD,
    /** Removes the store entry of an upstream. */
    UPSTREAM_UNLISTED,
    /** Publishes the next configuration. */
    CONFIG_CHANGE
}
