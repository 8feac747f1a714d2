package org.cactusshift.internal.coordination.store;

import java.util.Optional;
import org.cactusshift.errors.Failure;

/**
 * Receives the events of a watch, one call at a time, on a thread that depends on the implementation of the store.
 * While a call runs, later events wait.
 */
public interface WatchListener {
    /**
     * Reports a change of one key.
     *
     * @param key the key that changed
     * @param value the new value; empty when the key was deleted, also by the end of its lease
     * @param revision the store revision of the change
     */
    void onChange(String key, Optional<VersionedValue> value, long revision);

    /**
     * Reports that the watch is alive and has delivered all changes up to a revision.
     *
     * @param revision the store's revision
     */
    void onProgress(long revision);

    /**
     * Reports that the watch ended and delivers no more changes; its owner must read the keys with the prefix again and
     * open a new watch.
     *
     * @param failure why it ended
     */
    void onEnd(Failure failure);
}
