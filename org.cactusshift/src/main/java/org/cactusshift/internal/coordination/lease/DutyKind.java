package org.cactusshift.internal.coordination.lease;

/** What a duty is about. */
public enum DutyKind {
    /** Adds up and reports the usage of a shard of the client accounts. */
    USAGE("usage"),
    /** Keeps the claims of a shard of the non-repeatable calls. */
    CLAIM("claim"),
    /** Sends orders to the engines of one service in one failure domain. */
    ENGINE_ORDERS("engine-orders"),
    /** Orders upstreams in one failure domain. */
    UPSTREAM_ORDERS("upstream-orders");

    private final String pathSegment;

    DutyKind(String pathSegment) {
        this.pathSegment = pathSegment;
    }

    /**
     * Returns the name of the kind in the keys of the key-value service.
     *
     * @return the path segment
     */
    public String pathSegment() {
        return pathSegment;
    }
}
