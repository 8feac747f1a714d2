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
}
