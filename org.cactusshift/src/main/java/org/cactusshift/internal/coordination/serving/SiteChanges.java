package org.cactusshift.internal.coordination.serving;

import java.util.List;
import org.cactusshift.internal.coordination.store.KeyChange;

/**
 * The changes of the store that a node has read, for nodes that know an earlier revision.
 *
 * @param fromRevision the revision from which the changes are complete; a node that knows an earlier one cannot use
 *     them
 * @param toRevision the revision up to which they are complete
 * @param ageMillis the time since the read was started, in milliseconds
 * @param changes the changes after the first revision, oldest first, without those that only repeat what was known
 */
public record SiteChanges(long fromRevision, long toRevision, long ageMillis, List<KeyChange> changes) {
    /** Copies the list. */
    public SiteChanges {
        changes = List.copyOf(changes);
    }
}
