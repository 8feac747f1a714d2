package org.cactusshift.internal.protocol.openai;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** Writes server-sent events and flushes each; a write blocks while the caller doesn't read. */
public final class SseWriter {
    private final OutputStream out;

    private SseWriter(OutputStream out) {
        this.out = out;
    }

    /**
     * Creates a writer.
     *
     * @param out the body of the response; not closed by the writer
     * @return the writer
     */
    public static SseWriter over(OutputStream out) {
        return new SseWriter(out);
    }

    /**
     * Writes one event.
     *
     * @param data the data, without line breaks
     * @throws IOException if the connection to the caller fails
     */
    public void write(String data) throws IOException {
        out.write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
        out.flush();
    }
}
