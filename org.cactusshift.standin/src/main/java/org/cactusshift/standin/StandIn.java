package org.cactusshift.standin;

import java.io.IOException;

/** A stand-in for one outside system, served on a loopback port. */
public interface StandIn extends AutoCloseable {
    /**
     * Starts listening; a later start listens on the port of the first one.
     *
     * @throws IOException if the port can't be opened
     * @throws IllegalStateException if it listens already
     */
    void start() throws IOException;

    /**
     * Returns the address on which the stand-in listens.
     *
     * @return the address as {@code ADDRESS:PORT}
     * @throws IllegalStateException if the operating system chooses the port and the stand-in has not been started
     */
    String address();

    /**
     * Returns the faults that can be injected.
     *
     * @return the faults; each change takes effect at once
     */
    StandInFaults faults();

    /**
     * Returns the log of received requests.
     *
     * @return the log
     */
    ReceivedLog log();

    /** Resets all connections and stops listening at once, as when the process is killed. */
    void crash();

    /**
     * Resets all connections, stops listening and releases the threads and clients of the stand-in; {@link #crash()} is
     * for a stand-in that is to be started again.
     */
    @Override
    void close();
}
