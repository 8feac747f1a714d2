package org.cactusshift.internal.transport.http;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Responses whose connection ends after each of their bytes, and the ones that a client takes for complete. */
public final class CutMessages {
    /** How the connection ends after the last byte. */
    public enum End {
        CLOSE,
        RESET;

        void apply(Socket socket) throws IOException {
            if (this == RESET) {
                socket.setSoLinger(true, 0);
            }
            socket.close();
        }
    }

    /** How the end of a response's body is marked. */
    public enum Framing {
        LENGTH("Content-Length: 5\r\n\r\nhello"),
        CHUNKS("Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"),
        CONNECTION("\r\nhello");

        private final String rest;

        Framing(String rest) {
            this.rest = rest;
        }

        public String response() {
            return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX: y\r\n" + rest;
        }

        /** Returns the number of bytes from which on the response counts as complete. */
        int completeBytes(End end) {
            if (this == CONNECTION) {
                return end == End.CLOSE ? response().indexOf("\r\n\r\n") + 4 : Integer.MAX_VALUE;
            }
            return response().length();
        }
    }

    /** One call of a client. */
    @FunctionalInterface
    public interface Call {
        /** Returns whether the client has taken the response for complete. */
        boolean isComplete(String address) throws Exception;
    }

    private CutMessages() {}

    /** Returns the lengths at which a client takes a response that was cut for complete, or a complete one for cut. */
    public static List<Integer> misjudgedLengths(Framing framing, End end, Call call) throws Exception {
        byte[] response = framing.response().getBytes(StandardCharsets.US_ASCII);
        List<Integer> misjudged = new ArrayList<>();
        for (int length = 0; length <= response.length; length++) {
            int written = length;
            boolean isComplete = length >= framing.completeBytes(end);
            if (length == response.length && end == End.RESET && framing != Framing.CONNECTION) {
                // A reset may discard bytes that the client has not read.
                continue;
            }
            try (ScriptedServer server = ScriptedServer.start((request, socket, out) -> {
                out.write(response, 0, written);
                out.flush();
                end.apply(socket);
            })) {
                if (call.isComplete(server.address()) != isComplete) {
                    misjudged.add(length);
                }
            }
        }
        return misjudged;
    }
}
