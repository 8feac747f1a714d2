package org.cactusshift.standin;

import java.io.IOException;

/** A stand-in for one outside system, served on a loopback port. */
public interface StandIn extends AutoCloseable {
    /**
     * Starts listening. After {@link #crash()}, listens on the same port again.
     *
     * @throws IOException if the port can't be opened
     */
    void start() throws IOException;

    /**
     * Returns the address on which the stand-in listens.
     *
     * @return the address as {@code ADDRESS:PORT}
     * @throws IllegalStateException before the first start
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

    @Override
    void close();
}
