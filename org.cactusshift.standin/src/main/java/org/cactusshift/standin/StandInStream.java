package org.cactusshift.standin;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** The body of an answer that is sent bit by bit. */
public final class StandInStream {
    private final OutputStream output;

    private final StandInExchange exchange;

    StandInStream(OutputStream output, StandInExchange exchange) {
        this.output = output;
        this.exchange = exchange;
    }

    /**
     * Sends a text at once, or waits while the connection is silent.
     *
     * @param text the text
     * @throws IOException if the caller has gone
     */
    public void send(String text) throws IOException {
        exchange.awaitUnpaused();
        output.write(text.getBytes(StandardCharsets.UTF_8));
        output.flush();
    }

    /** Writes the body of a streamed answer. */
    @FunctionalInterface
    public interface Writer {
        /**
         * Writes the body.
         *
         * @param stream where to
         * @throws IOException if the caller has gone, or to break the connection
         */
        void write(StandInStream stream) throws IOException;
    }
}
