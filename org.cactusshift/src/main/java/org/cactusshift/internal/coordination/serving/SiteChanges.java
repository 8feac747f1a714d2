package org.cactusshift.internal.coordination.serving;

import java.util.List;
import org.cactusshift.internal.coordination.store.KeyChange;
import org.cactusshift.internal.coordination.store.StorePosition;

/**
 * The changes of the store that a node has read, for nodes that know an earlier revision of the same era.
 *
 * @param era the era of the store in which they were read, or {@link #UNKNOWN_ERA}
 * @param fromRevision the revision from which the changes are complete; a node that knows an earlier one cannot use
 *     them
 * @param toRevision the revision up to which they are complete
 * @param ageMillis the time since the read was started, in milliseconds
 * @param changes the changes after the first revision, oldest first, without those that only repeat what was known
 */
public record SiteChanges(long era, long fromRevision, long toRevision, long ageMillis, List<KeyChange> changes) {
    /** Stands for the era of a message that states none, as builds send it that know no eras. */
    public static final long UNKNOWN_ERA = -1;

    /** What a node that knows a position does with changes that it is told. */
    public enum Use {
        /** Apply those after its position. */
        APPLY,
        /** Read the store itself, as changes in between are missing. */
        READ,
        /** Read the store itself, as it was restored from a copy. */
        READ_NEW_ERA,
        /** Nothing: they are older than what it knows, or their era is not known. */
        IGNORE
    }

    /** Copies the list. */
    public SiteChanges {
        changes = List.copyOf(changes);
    }

    /**
     * Returns what a node does with these changes.
     *
     * @param known the position that the node knows
     * @param trustsUnknownEra whether a message without an era counts as one of the known era
     * @return the use
     */
    public Use useAt(StorePosition known, boolean trustsUnknownEra) {
        if (era > known.era()) {
            return Use.READ_NEW_ERA;
        }
        boolean isSameEra = era == known.era() || (era == UNKNOWN_ERA && trustsUnknownEra);
        if (!isSameEra || toRevision < known.revision()) {
            return Use.IGNORE;
        }
        return fromRevision > known.revision() ? Use.READ : Use.APPLY;
    }
}
