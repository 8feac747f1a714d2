package org.cactusshift.standin.site;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * An upstream whose responses a script writes as raw bytes, so that tests can produce any faulty response. Reads
 * request bodies by {@code Content-Length} alone; of a repeated header, it keeps the last value.
 */
public final class ScriptedUpstream implements AutoCloseable {
    private static final int RESET_LINGER_SECONDS = 0;

    private final ServerSocket listening;
    private final Script onHead;
    private final Script script;
    private final List<Request> requests = new CopyOnWriteArrayList<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();

    private ScriptedUpstream(ServerSocket listening, Script onHead, Script script) {
        this.listening = listening;
        this.onHead = onHead;
        this.script = script;
    }

    /** Responds to requests; called on the thread of the connection, for several connections concurrently. */
    public interface Script {
        /**
         * Writes a response.
         *
         * @param request the request
         * @param connection the connection to write to
         * @throws IOException if the connection was lost
         */
        void respond(Request request, Connection connection) throws IOException;
    }

    /**
     * A request as received.
     *
     * @param method the method
     * @param target the request target
     * @param headers the headers, names in lower case
     * @param body the body
     */
    public record Request(String method, String target, Map<String, String> headers, byte[] body) {
        /**
         * Returns a header.
         *
         * @param name the name
         * @return the value, empty text when absent
         */
        public String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    /** A connection to the node under test; the same object for all requests on it. */
    public static final class Connection {
        private final Socket socket;

        private Connection(Socket socket) {
            this.socket = socket;
        }

        /**
         * Writes text.
         *
         * @param text the text, in ISO 8859-1
         * @throws IOException if the connection was lost
         */
        public void write(String text) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        /**
         * Closes the connection normally.
         *
         * @throws IOException if it cannot be closed
         */
        public void close() throws IOException {
            socket.close();
        }

        /**
         * Resets the connection.
         *
         * @throws IOException if it cannot be closed
         */
        public void reset() throws IOException {
            socket.setSoLinger(true, RESET_LINGER_SECONDS);
            socket.close();
        }

        /**
         * Waits until the other side closes the connection.
         *
         * @return true if it was closed or reset within 10 s; false if it was not, or if the other side sent a byte
         * @throws IOException if the connection fails in another way
         */
        public boolean awaitClose() throws IOException {
            socket.setSoTimeout(10_000);
            try {
                return socket.getInputStream().read() < 0;
            } catch (java.net.SocketTimeoutException e) {
                return false;
            } catch (java.net.SocketException e) {
                return true;
            }
        }
    }

    /**
     * Starts an upstream on a loopback port.
     *
     * @param script responds to the requests
     * @return the upstream
     * @throws IOException if no port can be opened
     */
    public static ScriptedUpstream start(Script script) throws IOException {
        return start((request, connection) -> {}, script);
    }

    /**
     * Starts an upstream on a loopback port that may respond before it has read the body.
     *
     * @param onHead called with each request, its body empty, before the body is read
     * @param script responds to the requests
     * @return the upstream
     * @throws IOException if no port can be opened
     */
    public static ScriptedUpstream start(Script onHead, Script script) throws IOException {
        ServerSocket listening = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        ScriptedUpstream upstream = new ScriptedUpstream(listening, onHead, script);
        Thread acceptor = new Thread(upstream::accept, "scripted-upstream");
        acceptor.setDaemon(true);
        acceptor.start();
        return upstream;
    }

    /**
     * Returns the address on which the upstream listens.
     *
     * @return the address as {@code ADDRESS:PORT}
     */
    public String address() {
        return InetAddress.getLoopbackAddress().getHostAddress() + ":" + listening.getLocalPort();
    }

    /**
     * Returns the received requests.
     *
     * @return the requests, oldest first; thread-safe, grows as requests arrive, and must not be modified by the caller
     */
    public List<Request> requests() {
        return requests;
    }

    /**
     * Returns the number of connections accepted so far.
     *
     * @return the number of connections
     */
    public int connectionCount() {
        return sockets.size();
    }

    private void accept() {
        while (!listening.isClosed()) {
            try {
                Socket socket = listening.accept();
                sockets.add(socket);
                if (listening.isClosed()) {
                    // Accepted while close() ran, which may have missed it.
                    socket.close();
                }
                Thread worker = new Thread(() -> serve(socket), "scripted-upstream-connection");
                worker.setDaemon(true);
                worker.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Connection connection = new Connection(socket);
            while (true) {
                Request request = readRequest(in, connection);
                if (request == null) {
                    return;
                }
                requests.add(request);
                script.respond(request, connection);
                if (socket.isClosed()) {
                    return;
                }
            }
        } catch (IOException e) {
            // The connection was closed, by the node under test or by the test, or the script failed.
            return;
        }
    }

    /** Reads a request; returns null at the end of the stream. */
    private Request readRequest(InputStream in, Connection connection) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        String[] start = line.split(" ");
        Map<String, String> headers = new TreeMap<>();
        for (String header = readLine(in); header != null && !header.isEmpty(); header = readLine(in)) {
            int colon = header.indexOf(':');
            headers.put(
                    header.substring(0, colon).toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).trim());
        }
        onHead.respond(new Request(start[0], start[1], headers, new byte[0]), connection);
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        return new Request(start[0], start[1], headers, in.readNBytes(length));
    }

    /** Reads a line; returns null at the end of the stream. */
    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return null;
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /**
     * Closes all connections and goes on listening.
     *
     * @throws IOException if one cannot be closed
     */
    public void closeConnections() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    /** Stops listening and closes all connections. */
    @Override
    public void close() throws IOException {
        listening.close();
        closeConnections();
    }
}
