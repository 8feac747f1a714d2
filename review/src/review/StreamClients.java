package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ThreadLocalRandom;

/** Clients that read streams, and take a stream up at another node when its connection breaks. */
final class StreamClients {
    private static final int TIMEOUT_MILLIS = 5_000;
    private static final int TRIES = 4;

    /** A stream over all tries of its client; the versions are those that wrote its events. */
    record Stream(String id, Set<String> versions, int tries, int lastEvent, boolean complete) {}

    /** One try of a stream at a node; a try that takes the stream up went on if it brought a further event. */
    record Try(String stream, String node, long sentMillis, boolean takesUp, boolean broughtEvent) {}

    private final Record record;
    private final List<Nodes.Node> nodes;
    final List<Try> allTries = new ArrayList<>();
    final List<Stream> streams = new ArrayList<>();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean stopped;

    StreamClients(Record record, List<Nodes.Node> nodes) {
        this.record = record;
        this.nodes = nodes;
    }

    void start(int clients) {
        for (int i = 0; i < clients; i++) {
            Nodes.Node home = nodes.get(i % nodes.size());
            threads.add(Http.daemon(() -> {
                Http.sleep(ThreadLocalRandom.current().nextLong(2_000));
                while (!stopped) {
                    stream(home);
                    Http.sleep(50);
                }
            }));
        }
    }

    private void stream(Nodes.Node home) {
        long end = System.nanoTime() + TIMEOUT_MILLIS * 1_000_000L;
        String firstId = null;
        Set<String> versions = new TreeSet<>();
        int lastEvent = 0;
        boolean complete = false;
        int tries = 0;
        Nodes.Node node = home;
        while (!complete && tries < TRIES) {
            long leftMillis = (end - System.nanoTime()) / 1_000_000;
            if (leftMillis < 200) {
                break;
            }
            tries++;
            String id = Long.toHexString(ThreadLocalRandom.current().nextLong() | 1L << 63);
            long waitMillis = 20;
            long sentMillis = record.millis();
            boolean takesUp = firstId != null;
            int lastEventBefore = lastEvent;
            boolean connected = false;
            StringBuilder seen = new StringBuilder();
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), node.front), 1_000);
                connected = true;
                socket.setSoTimeout((int) leftMillis + 200);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                String body = "prompt";
                String head = "POST /stream/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: "
                        + leftMillis + "\r\nCredential: key-1\r\n"
                        + (firstId == null ? "" : "Last-Event-Id: " + lastEvent + "\r\nResumes: " + firstId + "\r\n")
                        + "Content-Length: " + body.length() + "\r\n\r\n" + body;
                socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
                String start = Http.line(in);
                if (start != null && start.split(" ")[1].equals("200")) {
                    Http.headers(in);
                    seen.append("200");
                    while (true) {
                        String size = Http.line(in);
                        if (size == null) {
                            break;
                        }
                        int length = Integer.parseInt(size.trim(), 16);
                        String text = new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
                        Http.line(in);
                        if (length == 0) {
                            complete = true;
                            break;
                        }
                        for (String part : text.split("\n\n")) {
                            int event = Integer.parseInt(part.replaceAll("(?s).*id: (\\d+).*", "$1"));
                            String data = part.replaceAll("(?s).*data: (\\S+ \\S+).*", "$1");
                            lastEvent = event;
                            versions.add(data.split(" ")[0]);
                            if (firstId == null) {
                                firstId = id;
                            }
                            seen.append(' ').append(event).append('=').append(data.replace(' ', '/'));
                        }
                    }
                } else if (start != null) {
                    seen.append(start.split(" ")[1]);
                    String after = Http.headers(in).getOrDefault("retry-after", "");
                    waitMillis = after.isEmpty() ? 20 : Math.min(Math.round(Double.parseDouble(after) * 1_000), leftMillis / 3);
                }
            } catch (IOException e) {
                seen.append(" (").append(e.getMessage()).append(')');
            }
            record.line("stream " + (firstId == null ? id : firstId) + " try " + tries + " as " + id + " at " + node.name
                    + ": " + seen + (complete ? " complete" : ""));
            if (connected) {
                synchronized (streams) {
                    allTries.add(new Try(
                            firstId == null ? id : firstId, node.name, sentMillis, takesUp, lastEvent > lastEventBefore));
                }
            }
            if (!complete) {
                // Retries reach other nodes.
                Nodes.Node before = node;
                while (node == before) {
                    node = nodes.get(ThreadLocalRandom.current().nextInt(nodes.size()));
                }
                Http.sleep(waitMillis);
            }
        }
        synchronized (streams) {
            streams.add(new Stream(String.valueOf(firstId), versions, tries, lastEvent, complete));
        }
    }

    List<Stream> snapshot() {
        synchronized (streams) {
            return new ArrayList<>(streams);
        }
    }

    void stop() {
        stopped = true;
        for (Thread thread : threads) {
            try {
                thread.join(8_000);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }
}
