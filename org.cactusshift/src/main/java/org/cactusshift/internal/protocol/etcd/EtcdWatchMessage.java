package org.cactusshift.internal.protocol.etcd;

import java.util.List;
import java.util.Optional;
import org.cactusshift.internal.coordination.store.KeyChange;

/**
 * One message of a watch, sent as one line.
 *
 * @param revision the store's revision from the header; 0 in an error message
 * @param created whether the message confirms the creation of the watch
 * @param canceled why the store ended the watch, which may be an error; empty while the watch is open
 * @param changes the changes; empty in a progress notification
 */
public record EtcdWatchMessage(long revision, boolean created, Optional<String> canceled, List<KeyChange> changes) {
    /** Copies the list. */
    public EtcdWatchMessage {
        changes = List.copyOf(changes);
    }

    /**
     * Returns the revision up to which all changes have been delivered.
     *
     * <p>For a message with changes this is not the revision of the header: while a watch catches up, the header is
     * ahead of the delivered changes.
     *
     * @return the revision of the last change, or that of the header when there is none
     */
    public long deliveredRevision() {
        return changes.isEmpty() ? revision : changes.get(changes.size() - 1).revision();
    }
}
