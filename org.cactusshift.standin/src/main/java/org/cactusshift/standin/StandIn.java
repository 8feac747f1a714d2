package org.cactusshift.standin;

import java.io.IOException;

/** A stand-in for one outside system, served on a loopback port. */
public interface StandIn extends AutoCloseable {
    /**
     * Starts to listen. After {@link #crash()} it listens on the same port again.
     *
     * @throws IOException if the port can't be opened
     */
    void start() throws IOException;

    /**
     * Returns where it listens.
     *
     * @return the address as {@code ADDRESS:PORT}
     * @throws IllegalStateException before the first start
     */
    String address();

    /**
     * Returns the fault switches.
     *
     * @return the switches, in force at once
     */
    StandInFaults faults();

    /**
     * Returns what it received.
     *
     * @return the log
     */
    ReceivedLog log();

    /** Breaks all connections and stops listening at once, as a killed process does. */
    void crash();

    @Override
    void close();
}
