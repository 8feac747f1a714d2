package org.cactusshift.internal.transport.http;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A caller that sends bytes exactly as a test writes them. */
public final class RawClient implements Closeable {
    private static final int READ_TIMEOUT_MILLIS = 10_000;

    private final Socket socket;

    private RawClient(Socket socket) {
        this.socket = socket;
    }

    public static RawClient connect(InetSocketAddress address) throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        return new RawClient(socket);
    }

    public RawClient send(String text) throws IOException {
        return send(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    public RawClient send(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
        return this;
    }

    /** Reads until the given text has been received or the connection has ended. */
    public String readUntil(String end) throws IOException {
        StringBuilder text = new StringBuilder();
        int b = 0;
        while (b >= 0 && text.indexOf(end) < 0) {
            try {
                b = socket.getInputStream().read();
            } catch (java.net.SocketException e) {
                b = -1;
            }
            if (b >= 0) {
                text.append((char) b);
            }
        }
        return text.toString();
    }

    /** Reads until the connection ends; a reset counts as the end. */
    public String readToEnd() throws IOException {
        // A text that no response contains.
        return readUntil("\0end");
    }

    public Socket socket() {
        return socket;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
