package org.cactusshift.internal.transport.gateway;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cactusshift.internal.transport.http.ScriptedServer;
import org.cactusshift.internal.transport.http.ScriptedServer.Received;

/**
 * Starts scripted servers that act as a model engine: they stream a fixed answer, one token of four characters per
 * event, and resume a request after the delivered text that it contains.
 */
final class FakeEngine {
    static final String ANSWER = "aaa bbb ccc ddd eee fff ";
    static final int TOKENS = 6;
    static final int PROMPT_TOKENS = 7;
    private static final int TOKEN_CHARS = 4;
    /**
     * The prompt tokens that the framing of a resumed answer adds. The framing, {@code assistant} and two line feeds,
     * is 11 characters after the 11 of the request's canonical form, and a token is 4 characters: 22 characters are 6
     * tokens, 11 are 3.
     */
    private static final int FRAMING_TOKENS = 3;

    private static final Pattern DELIVERED = Pattern.compile("\\{\"role\":\"assistant\",\"content\":\"([^\"]*)\"\\}");

    private FakeEngine() {}

    /** Starts an engine that closes the connection after a number of tokens; a negative number lets it finish. */
    static ScriptedServer crashingAfter(int tokens) throws IOException {
        return ScriptedServer.start((request, socket, out) -> stream(request, out, tokens));
    }

    static ScriptedServer healthy() throws IOException {
        return crashingAfter(-1);
    }

    static String delivered(Received request) {
        Matcher matcher = DELIVERED.matcher(request.body());
        return matcher.find() ? matcher.group(1) : "";
    }

    private static void stream(Received request, OutputStream out, int crashAfter) throws IOException {
        String delivered = delivered(request);
        writeHead(out, request.header("X-Request-Id"));
        writeEvent(out, chunk("{\"role\":\"assistant\",\"content\":\"\"}", "null"));
        int sent = 0;
        for (int at = delivered.length(); at < ANSWER.length(); at += TOKEN_CHARS) {
            if (sent == crashAfter) {
                throw new IOException("crash");
            }
            writeEvent(out, chunk("{\"content\":\"" + ANSWER.substring(at, at + TOKEN_CHARS) + "\"}", "null"));
            sent++;
        }
        if (sent == crashAfter) {
            throw new IOException("crash");
        }
        writeEvent(out, chunk("{}", "\"stop\""));
        int prompt = PROMPT_TOKENS + (delivered.isEmpty() ? 0 : FRAMING_TOKENS + delivered.length() / TOKEN_CHARS);
        writeEvent(
                out,
                "{\"id\":\"e\",\"choices\":[],\"usage\":{\"prompt_tokens\":" + prompt + ",\"completion_tokens\":" + sent
                        + "}}");
        writeEvent(out, "[DONE]");
        writeEnd(out);
    }

    static void writeHead(OutputStream out, String requestId) throws IOException {
        out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: " + requestId
                        + "\r\nTransfer-Encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    static void writeEvent(OutputStream out, String data) throws IOException {
        ScriptedServer.writeChunk(out, "data: " + data + "\n\n");
    }

    static void writeEnd(OutputStream out) throws IOException {
        out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    static String chunk(String delta, String finishReason) {
        return "{\"id\":\"e\",\"object\":\"chat.completion.chunk\",\"created\":5,\"model\":\"share-lm\",\"choices\":"
                + "[{\"index\":0,\"delta\":" + delta + ",\"finish_reason\":" + finishReason + "}]}";
    }
}
