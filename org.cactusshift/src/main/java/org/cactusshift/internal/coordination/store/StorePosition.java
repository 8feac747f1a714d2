package org.cactusshift.internal.coordination.store;

/**
 * A position in the history of the store. Revisions only grow within an era; when the store comes back from an older
 * copy, its era rises and it gives out revisions again.
 *
 * @param era the number of times that the store has come back from a copy, plus a constant; 0 for a store that states
 *     no era
 * @param revision the revision within the era
 */
public record StorePosition(long era, long revision) implements Comparable<StorePosition> {
    /** The position before the first change. */
    public static final StorePosition START = new StorePosition(0, 0);

    /**
     * Returns a position in the same era.
     *
     * @param newRevision the revision
     * @return the position
     */
    public StorePosition withRevision(long newRevision) {
        return new StorePosition(era, newRevision);
    }

    @Override
    public int compareTo(StorePosition other) {
        int byEra = Long.compare(era, other.era);
        return byEra != 0 ? byEra : Long.compare(revision, other.revision);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof StorePosition that && era == that.era && revision == that.revision;
    }

    @Override
    public int hashCode() {
        return 31 * Long.hashCode(era) + Long.hashCode(revision);
    }
}
