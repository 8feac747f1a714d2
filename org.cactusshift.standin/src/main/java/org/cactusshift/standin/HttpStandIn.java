package org.cactusshift.standin;

import java.io.IOException;

/** A stand-in that delegates its lifecycle, address, faults and log to its HTTP server. */
public interface HttpStandIn extends StandIn {
    /**
     * Returns the HTTP server of this stand-in.
     *
     * @return the server
     */
    StandInServer server();

    @Override
    default void start() throws IOException {
        server().start();
    }

    @Override
    default String address() {
        return server().address();
    }

    @Override
    default StandInFaults faults() {
        return server().faults();
    }

    @Override
    default ReceivedLog log() {
        return server().log();
    }

    @Override
    default void crash() {
        server().crash();
    }

    @Override
    default void close() {
        server().close();
    }
}
