package org.cactusshift.internal.coordination.store;

/** An open watch. */
public interface Watch extends AutoCloseable {
    /** Ends the watch; no listener call starts after it returns. */
    @Override
    void close();
}
