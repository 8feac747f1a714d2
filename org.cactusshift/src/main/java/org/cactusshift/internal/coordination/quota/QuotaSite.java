package org.cactusshift.internal.coordination.quota;

/**
 * How many nodes share a quota.
 *
 * @param nodes the number of nodes of the site
 * @param heardNodes the number of those that this node has heard from lately, itself included
 */
public record QuotaSite(int nodes, int heardNodes) {
    /** The window over which a quota is checked. */
    public static final long WINDOW_MILLIS = 8_000;

    /** Nodes send gossip messages to 32 peers a second, so that each peer is reached every {@code n / 32} s. */
    private static final double GOSSIP_MESSAGES_PER_MILLI = 0.032;

    private static final long SILENCE_MARGIN_MILLIS = 500;

    /** Bounds the numbers: at least this node exists and is heard. */
    public QuotaSite {
        nodes = Math.max(1, nodes);
        heardNodes = Math.max(1, Math.min(heardNodes, nodes));
    }

    /**
     * Returns the part of the quota that the coordinator may grant.
     *
     * @return a number above 0, up to 1
     */
    public double heardShare() {
        return (double) heardNodes / nodes;
    }

    /**
     * Returns for how long a node counts as heard after its last message: two gossip intervals and a margin, so that
     * one lost message doesn't lower the granted rate.
     *
     * @param nodes the number of nodes of the site
     * @return the time in milliseconds
     */
    public static long silenceMillis(int nodes) {
        return SILENCE_MARGIN_MILLIS + Math.round(2 * nodes / GOSSIP_MESSAGES_PER_MILLI);
    }
}
