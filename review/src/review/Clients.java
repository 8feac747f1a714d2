package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** Clients of one node each, on kept connections. */
final class Clients {
    /** A request and how it ended; the status is 0 if the connection ended without a complete answer. */
    record Call(
            String id, String node, String path, long sentMillis, long endMillis, int status, String body, boolean leaving) {}

    private final Record record;
    final List<Call> calls = new ArrayList<>();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean stopped;

    Clients(Record record) {
        this.record = record;
    }

    /** Starts a client that sends a request every so many milliseconds. */
    void start(Nodes.Node node, String path, String method, long pauseMillis, int timeoutMillis, String extraHeaders) {
        threads.add(Http.daemon(() -> {
            Socket socket = null;
            InputStream in = null;
            Http.sleep(ThreadLocalRandom.current().nextLong(pauseMillis + 1));
            while (!stopped) {
                String id = Long.toHexString(ThreadLocalRandom.current().nextLong() | 1L << 63);
                long sent = record.millis();
                int status = 0;
                String body = "";
                boolean leaving = false;
                boolean close = true;
                boolean reached = true;
                try {
                    if (socket == null) {
                        reached = false;
                        socket = new Socket();
                        socket.connect(
                                new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), node.front), 1_000);
                        socket.setTcpNoDelay(true);
                        in = new BufferedInputStream(socket.getInputStream());
                        reached = true;
                    }
                    socket.setSoTimeout(timeoutMillis + 200);
                    String content = method.equals("GET") ? "" : "order " + id;
                    String head = method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id
                            + "\r\nDeadline-Ms: " + timeoutMillis + "\r\nCredential: key-1\r\n" + extraHeaders
                            + (content.isEmpty() ? "" : "Content-Length: " + content.length() + "\r\n") + "\r\n";
                    socket.getOutputStream().write((head + content).getBytes(StandardCharsets.ISO_8859_1));
                    Http.Message answer = Http.read(in, true);
                    if (answer != null) {
                        status = answer.status();
                        body = answer.text();
                        leaving = answer.header("Server-Leaving").equals("1");
                        close = answer.header("Connection").equals("close");
                    }
                } catch (IOException e) {
                    body = String.valueOf(e.getMessage());
                }
                if (close && socket != null) {
                    try {
                        socket.close();
                    } catch (IOException e) {
                        body = String.valueOf(e.getMessage());
                    }
                    socket = null;
                }
                if (reached) {
                    Call call = new Call(id, node.name, path, sent, record.millis(), status, body, leaving);
                    synchronized (calls) {
                        calls.add(call);
                    }
                    record.line("client of " + node.name + ": " + method + " " + path + " " + id + " -> "
                            + (status == 0 ? "no complete answer (" + body + ")" : status + " " + body)
                            + (leaving ? " (Server-Leaving)" : "") + " after " + (call.endMillis() - sent) + " ms");
                }
                Http.sleep(pauseMillis);
            }
        }));
    }

    List<Call> snapshot() {
        synchronized (calls) {
            return new ArrayList<>(calls);
        }
    }

    void stop() {
        stopped = true;
        for (Thread thread : threads) {
            try {
                thread.join(4_000);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }
}
