package org.cactusshift.internal.coordination.serving;

/**
 * Decides when a node reads the changes of the store, of which one node of a failure domain, its reader, tells the
 * others.
 *
 * <p>The reader reads periodically. Another node reads only if it has not heard of a read for longer than the period;
 * the nodes of a failure domain wait differently long, so that the next one takes the place of a reader that is gone.
 */
public final class ReadPacing {
    /** The period of the reads of a reader, as a fraction of the time within which a change must be seen. */
    private static final double READER_PERIOD_SHARE = 0.25;

    /** The longest time between two reads of a node that hears of none, likewise. */
    public static final double LONGEST_PERIOD_SHARE = 0.4;

    /** How much longer than a reader the next node waits, likewise: a read, and the message about it. */
    private static final double FIRST_EXTRA_SHARE = 0.05;

    /** How much longer each further node waits, likewise. */
    private static final double EXTRA_PER_RANK_SHARE = 0.005;

    private final long delayLimitMillis;

    private ReadPacing(long delayLimitMillis) {
        this.delayLimitMillis = delayLimitMillis;
    }

    /**
     * Returns the pacing.
     *
     * @param delayLimitMillis the time within which a change must be seen
     * @return the pacing
     */
    public static ReadPacing of(long delayLimitMillis) {
        return new ReadPacing(delayLimitMillis);
    }

    /**
     * Returns how long a node waits before it reads all keys anew, as the history was lost or the store was restored:
     * all nodes do so at about the same time, and the keys of a large site take many calls.
     *
     * @param rank the position of the node among those of its failure domain, 0 for the reader
     * @return the time in milliseconds
     */
    public long listDelayMillis(int rank) {
        return Math.round(EXTRA_PER_RANK_SHARE * rank * delayLimitMillis);
    }

    /**
     * Returns the time between the last read that a node knows of and its own next read.
     *
     * @param rank the position of the node among those of its failure domain, 0 for the reader
     * @return the time in milliseconds
     */
    public long periodMillis(int rank) {
        double extraShare = rank == 0 ? 0 : FIRST_EXTRA_SHARE + EXTRA_PER_RANK_SHARE * (rank - 1.0);
        double share = Math.min(LONGEST_PERIOD_SHARE, READER_PERIOD_SHARE + extraShare);
        return Math.round(share * delayLimitMillis);
    }
}
