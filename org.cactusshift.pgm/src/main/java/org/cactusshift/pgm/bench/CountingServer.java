package org.cactusshift.pgm.bench;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.UnaryOperator;

/** An HTTP server on loopback that responds to requests without body and counts the bytes of both directions. */
final class CountingServer implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(CountingServer.class.getName());
    private static final String HEADERS_END = "\r\n\r\n";
    private static final int MAXIMUM_HEADER_BYTES = 64 * 1024;
    private static final int OUTPUT_BYTES = 64 * 1024;

    private final ServerSocket listener;
    private final UnaryOperator<String> responseBodies;
    private final LongAdder bytes = new LongAdder();
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "counting-server");
        thread.setDaemon(true);
        return thread;
    });

    private CountingServer(ServerSocket listener, UnaryOperator<String> responseBodies) {
        this.listener = listener;
        this.responseBodies = responseBodies;
    }

    /** Starts a server; {@code responseBodies} returns the response body for the head of a request. */
    static CountingServer start(UnaryOperator<String> responseBodies) {
        try {
            CountingServer server =
                    new CountingServer(new ServerSocket(0, 0, InetAddress.getLoopbackAddress()), responseBodies);
            server.threads.execute(server::accept);
            return server;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Returns the HTTP bytes received and sent since the start, without the overhead of TCP. */
    long bytes() {
        return bytes.sum();
    }

    private void accept() {
        try {
            while (!listener.isClosed()) {
                Socket connection = listener.accept();
                threads.execute(() -> serve(connection));
            }
        } catch (IOException e) {
            LOG.log(System.Logger.Level.DEBUG, "counting server closed", e);
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            // A response is one write: the second of two would wait for the delayed acknowledgement of the first.
            OutputStream out = new BufferedOutputStream(connection.getOutputStream(), OUTPUT_BYTES);
            String request = readHeaders(in);
            while (!request.isEmpty()) {
                byte[] body = responseBodies.apply(request).getBytes(StandardCharsets.UTF_8);
                String headers = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length
                        + HEADERS_END;
                out.write(headers.getBytes(StandardCharsets.US_ASCII));
                out.write(body);
                out.flush();
                bytes.add(request.length() + headers.length() + body.length);
                request = readHeaders(in);
            }
        } catch (IOException e) {
            LOG.log(System.Logger.Level.DEBUG, "connection to the counting server ended", e);
        }
    }

    private static String readHeaders(InputStream in) throws IOException {
        StringBuilder headers = new StringBuilder();
        while (headers.length() < MAXIMUM_HEADER_BYTES) {
            int next = in.read();
            if (next < 0) {
                return "";
            }
            headers.append((char) next);
            if (next == '\n' && headers.length() > 3 && headers.indexOf(HEADERS_END, headers.length() - 4) >= 0) {
                return headers.toString();
            }
        }
        throw new IOException("headers too long");
    }

    @Override
    public void close() {
        try {
            listener.close();
        } catch (IOException e) {
            LOG.log(System.Logger.Level.DEBUG, "closing the counting server failed", e);
        }
        threads.shutdownNow();
    }
}
