package org.cactusshift.standin;

import java.io.IOException;

/** A stand-in that hands its life, address, faults and log to the server under it. */
public interface HttpStandIn extends StandIn {
    /**
     * Returns the server under this stand-in.
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
