package org.cactusshift.pgm.bench;

/** What a node does for others; each has its own growth. */
public enum Role {
    /** Takes requests of callers and decides where they run. */
    GATEWAY("gateway"),
    /** Reads configuration in the key-value service and passes it on. */
    CONFIG_RELAY("configuration relay"),
    /** Takes configuration from a relay. */
    CONFIG_FOLLOWER("configuration follower"),
    /** Adds up and reports the usage of a shard. */
    USAGE_SHARD("usage shard"),
    /** Owns the claims of a shard. */
    CLAIM_SHARD("claim shard"),
    /** Orders role and version changes of engines. */
    ENGINE_ORDERS("engine orders"),
    /** Orders upstreams in a failure domain. */
    UPSTREAM_ORDERS("upstream orders"),
    /** Holds, renews and looks for duties of whatever kind. */
    DUTY_CANDIDATE("duty candidate"),
    /** Sends heartbeats and takes those of others. */
    PEER_MESH("peer mesh"),
    /** Knows the other nodes and the leaving upstreams. */
    MEMBERSHIP("membership");

    private final String title;

    Role(String title) {
        this.title = title;
    }

    /**
     * Returns the name for readers.
     *
     * @return the name in lower case
     */
    public String title() {
        return title;
    }
}
