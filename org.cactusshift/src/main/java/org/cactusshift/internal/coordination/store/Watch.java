package org.cactusshift.internal.coordination.store;

/** An open watch. */
public interface Watch extends AutoCloseable {
    /** Closes the watch; no call to the listener starts after this method returns. */
    @Override
    void close();
}
