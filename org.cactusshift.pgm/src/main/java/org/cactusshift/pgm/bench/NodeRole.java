package org.cactusshift.pgm.bench;

/** The roles of a node, whose costs grow at different rates. */
public enum NodeRole {
    /** Accepts requests of callers and places them on upstreams. */
    GATEWAY("gateway"),
    /** Reads the configuration from the key-value store and distributes it to followers. */
    CONFIG_RELAY("configuration relay"),
    /** Fetches the configuration from a relay. */
    CONFIG_FOLLOWER("configuration follower"),
    /** Aggregates and reports the usage of a shard. */
    USAGE_SHARD("usage shard"),
    /** Owns the claims of a shard. */
    CLAIM_SHARD("claim shard"),
    /** Sends role and version changes to engines. */
    ENGINE_ORDERS("engine orders"),
    /** Requests the provisioning and release of upstreams in a failure domain. */
    UPSTREAM_ORDERS("upstream orders"),
    /** Acquires and renews duties of any kind. */
    DUTY_CANDIDATE("duty candidate"),
    /** Sends heartbeats to peers and handles theirs. */
    PEER_MESH("peer mesh"),
    /** Tracks the peers and the upstreams that are about to leave the site. */
    MEMBERSHIP("membership");

    private final String title;

    NodeRole(String title) {
        this.title = title;
    }

    /**
     * Returns the display name.
     *
     * @return the name in lower case
     */
    public String title() {
        return title;
    }
}
