package org.cactusshift.standin;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** The body of a streamed response. */
public final class StandInStream {
    private final OutputStream output;

    private final StandInExchange exchange;

    StandInStream(OutputStream output, StandInExchange exchange) {
        this.output = output;
        this.exchange = exchange;
    }

    /**
     * Sends a text and flushes it; waits first while the stand-in is paused or the connection is stalled.
     *
     * @param text the text
     * @throws IOException if the connection was lost
     */
    public void send(String text) throws IOException {
        exchange.awaitUnblocked();
        output.write(text.getBytes(StandardCharsets.UTF_8));
        output.flush();
    }

    /** Writes the body of a streamed response. */
    @FunctionalInterface
    public interface Writer {
        /**
         * Writes the body.
         *
         * @param stream the stream to write to
         * @throws IOException if the connection was lost, or to abort it
         */
        void write(StandInStream stream) throws IOException;
    }
}
