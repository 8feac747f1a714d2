package org.cactusshift.standin.site;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Sends HTTP requests over plain sockets and reads the responses, so that a test can see how a response ends. */
public final class RawHttpCaller {
    private static final int READ_TIMEOUT_MILLIS = 20_000;

    private RawHttpCaller() {}

    /**
     * A response as received on the connection.
     *
     * @param status the status; 0 when the connection ended before the status line
     * @param headers the headers, names in lower case
     * @param body the body received
     * @param complete whether the body was complete according to its framing
     */
    public record Response(int status, Map<String, String> headers, String body, boolean complete) {}

    /**
     * Returns the text of a {@code POST} request.
     *
     * @param path the request target
     * @param id the value of {@code Request-Id}
     * @param headers headers in addition to {@code Request-Id}, {@code Deadline-Ms: 1500} and
     *     {@code Credential: key-1}, or in their place; a header with an empty value is omitted
     * @param body the body, in ISO 8859-1
     * @return the request
     */
    public static String request(String path, String id, Map<String, String> headers, String body) {
        StringBuilder head = new StringBuilder("POST " + path + " HTTP/1.1\r\nHost: h.example\r\n");
        Map<String, String> all = new TreeMap<>(Map.of("Request-Id", id, "Deadline-Ms", "1500", "Credential", "key-1"));
        all.putAll(headers);
        all.forEach((name, value) -> {
            if (!value.isEmpty()) {
                head.append(name).append(": ").append(value).append("\r\n");
            }
        });
        return head + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /**
     * Sends a request on a connection of its own.
     *
     * @param port the port of the node
     * @param path the request target
     * @param id the value of {@code Request-Id}
     * @param headers headers in addition to {@code Request-Id}, {@code Deadline-Ms: 1500} and
     *     {@code Credential: key-1}, or in their place; a header with an empty value is omitted
     * @param body the body, in ISO 8859-1
     * @return the response; its status is 0 when the connection ended before the status line
     * @throws IOException if the connection can't be opened or written to, or as for {@link #read}
     */
    public static Response call(int port, String path, String id, Map<String, String> headers, String body)
            throws IOException {
        return send(port, request(path, id, headers, body));
    }

    /**
     * Sends bytes on a connection of its own.
     *
     * @param port the port of the node
     * @param bytes the bytes, in ISO 8859-1
     * @return the response; its status is 0 when the connection ended before the status line
     * @throws IOException if the connection can't be opened or written to, or as for {@link #read}
     */
    public static Response send(int port, String bytes) throws IOException {
        try (Socket socket = connect(port)) {
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            return read(socket.getInputStream());
        }
    }

    /**
     * Connects to a node on the loopback address, with a read timeout of 20 s.
     *
     * @param port the port of the node
     * @return the connection
     * @throws IOException if the node accepts no connection
     */
    public static Socket connect(int port) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        return socket;
    }

    /**
     * Reads a response.
     *
     * @param in the connection
     * @return the response; its status is 0 when the connection ended before the status line
     * @throws IOException if the connection fails while the body is read, also by a reset, or nothing arrives for 20 s;
     *     a connection that fails within a line of the head or of the chunked framing counts as ended
     */
    public static Response read(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return new Response(0, Map.of(), "", false);
        }
        int status = Integer.parseInt(line.split(" ")[1]);
        Map<String, String> headers = new TreeMap<>();
        for (String header = readLine(in); header != null && !header.isEmpty(); header = readLine(in)) {
            int colon = header.indexOf(':');
            headers.put(
                    header.substring(0, colon).toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).trim());
        }
        if (headers.containsKey("content-length")) {
            int length = Integer.parseInt(headers.get("content-length"));
            byte[] body = in.readNBytes(length);
            return new Response(status, headers, text(body), body.length == length);
        }
        return readChunks(in, status, headers);
    }

    private static Response readChunks(InputStream in, int status, Map<String, String> headers) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = readLine(in);
            if (size == null) {
                return new Response(status, headers, text(body.toByteArray()), false);
            }
            int length = Integer.parseInt(size.trim(), 16);
            body.writeBytes(in.readNBytes(length));
            if (readLine(in) == null || length == 0) {
                return new Response(status, headers, text(body.toByteArray()), length == 0);
            }
        }
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    /** Reads a line; returns null when the stream ends or the socket fails before the end of the line. */
    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = readByte(in); next != '\n'; next = readByte(in)) {
            if (next < 0) {
                return null;
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    private static int readByte(InputStream in) throws IOException {
        try {
            return in.read();
        } catch (java.net.SocketException e) {
            return -1;
        }
    }
}
