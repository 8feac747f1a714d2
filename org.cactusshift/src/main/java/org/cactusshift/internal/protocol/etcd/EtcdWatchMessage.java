package org.cactusshift.internal.protocol.etcd;

import java.util.List;
import java.util.Optional;
import org.cactusshift.internal.coordination.store.KeyChange;

/**
 * One line of an open watch.
 *
 * @param revision the store's revision
 * @param created whether the line confirms the watch
 * @param canceled why the service ended the watch; empty while it is open
 * @param changes the changes; empty on a progress notification
 */
public record EtcdWatchMessage(long revision, boolean created, Optional<String> canceled, List<KeyChange> changes) {
    /** Copies the list. */
    public EtcdWatchMessage {
        changes = List.copyOf(changes);
    }

    /**
     * Returns the revision up to which everything has been delivered.
     *
     * <p>A message with changes is no progress notification: while a watch catches up, its header is ahead of what it
     * has brought.
     *
     * @return the revision of the last change, or that of the header when there is none
     */
    public long deliveredRevision() {
        return changes.isEmpty() ? revision : changes.get(changes.size() - 1).revision();
    }
}
