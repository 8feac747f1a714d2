package org.cactusshift.internal.coordination.lease;

/** The coordinator roles of a site; each is divided into duties that are held one by one. */
public enum DutyKind {
    /** Aggregates and reports the usage of one shard of the client accounts. */
    USAGE("usage"),
    /** Stores the claims of one shard, which keep calls that may run at most once from running again. */
    CLAIM("claim"),
    /** Sends orders to the engines of one service in one failure domain. */
    ENGINE_ORDERS("engine-orders"),
    /** Orders upstreams from the platform for one failure domain. */
    UPSTREAM_ORDERS("upstream-orders");

    private final String pathSegment;

    DutyKind(String pathSegment) {
        this.pathSegment = pathSegment;
    }

    /**
     * Returns the path segment of the kind in store keys.
     *
     * @return the path segment
     */
    public String pathSegment() {
        return pathSegment;
    }
}
