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

/** An HTTP server on loopback for requests that have no body; counts the bytes received and sent. */
final class CountingServer implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(CountingServer.class.getName());
    private static final String HEADERS_END = "\r\n\r\n";
    private static final int MAXIMUM_HEAD_BYTES = 64 * 1024;
    private static final int OUTPUT_BUFFER_BYTES = 64 * 1024;

    private final ServerSocket listener;
    private final UnaryOperator<String> bodyForHead;
    private final LongAdder bytes = new LongAdder();
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "counting-server");
        thread.setDaemon(true);
        return thread;
    });

    private CountingServer(ServerSocket listener, UnaryOperator<String> bodyForHead) {
        this.listener = listener;
        this.bodyForHead = bodyForHead;
    }

    /** Starts a server; {@code bodyForHead} returns the response body for a request head. */
    static CountingServer start(UnaryOperator<String> bodyForHead) {
        try {
            CountingServer server =
                    new CountingServer(new ServerSocket(0, 0, InetAddress.getLoopbackAddress()), bodyForHead);
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
            // Buffers a response into one write; with Nagle's algorithm a second one would wait for a delayed
            // acknowledgement.
            OutputStream out = new BufferedOutputStream(connection.getOutputStream(), OUTPUT_BUFFER_BYTES);
            String requestHead = readRequestHead(in);
            while (!requestHead.isEmpty()) {
                byte[] body = bodyForHead.apply(requestHead).getBytes(StandardCharsets.UTF_8);
                String headers = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length
                        + HEADERS_END;
                out.write(headers.getBytes(StandardCharsets.US_ASCII));
                out.write(body);
                out.flush();
                bytes.add(requestHead.length() + headers.length() + body.length);
                requestHead = readRequestHead(in);
            }
        } catch (IOException e) {
            LOG.log(System.Logger.Level.DEBUG, "connection to the counting server ended", e);
        }
    }

    /** Returns the head of the next request; empty at the end of the connection. */
    private static String readRequestHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.length() < MAXIMUM_HEAD_BYTES) {
            int next = in.read();
            if (next < 0) {
                return "";
            }
            head.append((char) next);
            if (next == '\n' && head.length() > 3 && head.indexOf(HEADERS_END, head.length() - 4) >= 0) {
                return head.toString();
            }
        }
        throw new IOException("request head exceeds " + MAXIMUM_HEAD_BYTES + " bytes");
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
