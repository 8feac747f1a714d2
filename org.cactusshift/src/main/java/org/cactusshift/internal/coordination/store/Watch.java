package org.cactusshift.internal.coordination.store;

/** A subscription to the changes of the keys with a prefix; open until it is closed or ends. */
public interface Watch extends AutoCloseable {
    /** Closes the watch; no call to the listener starts after this method returns. */
    @Override
    void close();
}
