package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** Engines start again one after the other, under their ids, with a new version of their software. */
final class MixedVersions {
    private static final int ENGINES = 8;
    private static final int EVENTS = 24;
    private static final int EVENT_MILLIS = 120;

    private final Site.Record record;
    private final AtomicInteger mixed = new AtomicInteger();
    private final AtomicInteger complete = new AtomicInteger();
    private final AtomicInteger wrongOrder = new AtomicInteger();
    private volatile boolean done;

    private MixedVersions(Site.Record record) {
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        int exit = 2;
        try (Site.Record record = new Site.Record(Path.of(arguments[0], "record.txt"))) {
            exit = new MixedVersions(record).run(!"0".equals(System.getenv("TROUBLE")));
            record.add("exit " + exit);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(exit);
    }

    private static void respond(Engine.Request request, OutputStream out, String version)
            throws IOException, InterruptedException {
        String after = request.header("last-event-id");
        int next = after.isEmpty() ? 1 : Integer.parseInt(after) + 1;
        write(
                out,
                "HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("request-id") + "\r\nResponse-Signature: s-" + version
                        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = next; i <= EVENTS; i++) {
            Thread.sleep(EVENT_MILLIS);
            String event = "id: " + i + "\ndata: " + version + "\n\n";
            write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
        }
        write(out, "0\r\n\r\n");
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private int run(boolean trouble) throws Exception {
        try (Site site = new Site(Path.of("."), record)) {
            List<Engine> engines = new ArrayList<>();
            for (int i = 0; i < ENGINES; i++) {
                Engine engine = new Engine("i-" + i, MixedVersions::respond);
                engines.add(engine);
                putEntry(site, engine, 1);
            }
            site.putConfig(
                    1,
                    List.of(Site.route("draft", "stream", "lm", true, 8000)),
                    "{\"name\":\"lm\",\"health_check\":\"/healthz\",\"max_connections\":370,\"engine\":{\"slots\":64,"
                            + "\"kv_capacity\":440441,\"kv_token_bytes\":18432}}");
            Site.Node node = site.addNode("front-z1-1", "z1");
            node.start();
            if (!node.awaitReady(15_000)) {
                return 2;
            }
            // In touch: longer than contact_ms.
            Thread.sleep(4_000);
            int callers = 32;
            CountDownLatch ended = new CountDownLatch(callers);
            for (int i = 0; i < callers; i++) {
                int caller = i;
                Thread thread = new Thread(() -> {
                    try {
                        call(node.front, caller);
                    } catch (Exception e) {
                        record.add("caller " + caller + ": " + e);
                    }
                    ended.countDown();
                });
                thread.setDaemon(true);
                thread.start();
                Thread.sleep(60);
            }
            Thread.sleep(2_000);
            if (trouble) {
                for (Engine engine : engines) {
                    record.add(engine.id + " ends");
                    engine.crash();
                    Thread.sleep(DOWN_MILLIS);
                    engine.version = "v2";
                    putEntry(site, engine, 1);
                    engine.start();
                    record.add(engine.id + " is back with v2, its entry is confirmed");
                    Thread.sleep(GAP_MILLIS);
                }
            }
            Thread.sleep(5_000);
            done = true;
            ended.await(20, java.util.concurrent.TimeUnit.SECONDS);
            record.add("complete " + complete + ", of two versions " + mixed + ", out of order " + wrongOrder);
            System.out.println("complete " + complete + ", of two versions " + mixed + ", out of order " + wrongOrder);
            for (Engine engine : engines) {
                engine.close();
            }
        }
        return mixed.get() > 2 || wrongOrder.get() > 2 ? 1 : 0;
    }

    private static final int DOWN_MILLIS = Integer.getInteger("down", 250);
    private static final int GAP_MILLIS = Integer.getInteger("gap", 50);

    /** As an engine does at its start and with each beat. */
    private static void putEntry(Site site, Engine engine, int sequence) {
        site.store.put(
                "servers/" + engine.id,
                "{\"service\":\"lm\",\"address\":\"" + engine.address() + "\",\"zone\":\"z1\",\"version\":\""
                        + engine.version + "\",\"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":"
                        + "\"colocated\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"born\":"
                        + System.currentTimeMillis() + ",\"seq\":" + sequence + "}");
    }

    /** Has streams one after the other; takes one up again once if its answer is broken off. */
    private void call(int port, int caller) throws IOException, InterruptedException {
        for (int number = 0; !done; number++) {
            String id = "c" + caller + "s" + number;
            Set<String> versions = new TreeSet<>();
            StringBuilder seen = new StringBuilder();
            int[] last = {0};
            boolean whole = attempt(port, id, "", last, versions, seen);
            // The attempt that brought the first event.
            String began = last[0] == 0 ? "" : id;
            for (int retry = 1; retry <= 2 && !whole && !done; retry++) {
                seen.append(" / ");
                whole = attempt(port, id + "r" + retry, began, last, versions, seen);
                began = began.isEmpty() && last[0] > 0 ? id + "r" + retry : began;
            }
            if (whole) {
                complete.incrementAndGet();
            }
            if (versions.size() > 1) {
                mixed.incrementAndGet();
            }
            record.add("stream " + id + (whole ? " complete:" : " not complete:") + seen
                    + (versions.size() > 1 ? " TWO VERSIONS" : ""));
        }
    }

    private boolean attempt(int port, String id, String resumes, int[] last, Set<String> versions, StringBuilder seen)
            throws IOException, InterruptedException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(9_000);
            String body = "{}";
            write(
                    socket.getOutputStream(),
                    "POST /draft/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id + "\r\n"
                            + (last[0] == 0 ? "" : "Last-Event-Id: " + last[0] + "\r\n")
                            + (resumes.isEmpty() ? "" : "Resumes: " + resumes + "\r\n")
                            + "Model: m\r\nToken-Counts: 40,24\r\nPrefix-Hash: " + Integer.toHexString(id.hashCode())
                            + ":40\r\nDeadline-Ms: 8000\r\nCredential: key-1\r\nContent-Length: " + body.length()
                            + "\r\n\r\n" + body);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String status = Engine.line(in);
            if (status == null || !status.contains(" 200 ")) {
                seen.append(" [").append(status).append(']');
                Thread.sleep(200);
                return false;
            }
            for (String header = Engine.line(in); header != null && !header.isEmpty(); header = Engine.line(in)) {}
            while (true) {
                String size = Engine.line(in);
                if (size == null) {
                    return false;
                }
                int length = Integer.parseInt(size.trim(), 16);
                if (length == 0) {
                    return true;
                }
                String event = new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
                Engine.line(in);
                for (String part : event.split("\n\n")) {
                    int number = Integer.parseInt(part.substring(part.indexOf("id: ") + 4, part.indexOf('\n')));
                    String version = part.substring(part.indexOf("data: ") + 6).trim();
                    if (number != last[0] + 1) {
                        wrongOrder.incrementAndGet();
                    }
                    last[0] = number;
                    versions.add(version);
                    seen.append(' ').append(number).append(version);
                }
            }
        } catch (IOException e) {
            seen.append(" [").append(e.getMessage()).append(']');
            return false;
        }
    }
}
