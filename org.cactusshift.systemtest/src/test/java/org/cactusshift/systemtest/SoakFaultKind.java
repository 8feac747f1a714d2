package org.cactusshift.systemtest;

import java.util.EnumSet;
import java.util.Set;

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
    CONFIG_CHANGE,
    /** Makes an upstream state a limit on requests per second. */
    UPSTREAM_LIMITED,
    /** Makes an upstream turn all requests away and ask for rest. */
    UPSTREAM_RESTING,
    /** Cuts the links of a node, or of all but one, to all upstreams; the links hang or are reset. */
    UPSTREAM_LINKS_LOST;

    private static final Set<SoakFaultKind> INTERRUPTING = EnumSet.of(PAUSE, KILL, CALLERS_CUT, CALLERS_STALLED);

    /**
     * Returns whether the fault is unplanned and interrupts a node or its connections to callers, so that the node
     * cannot be held to respond. A termination, a reload and a configuration change are planned; faults of the store
     * and of upstreams leave the node able to respond.
     */
    boolean isUnplannedInterruption() {
        return INTERRUPTING.contains(this);
    }
}
