import java.net.Socket;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;
import java.util.function.*;

/** Engines in trouble go on with a few of their streams as blank lines without end. */
final class EndlessBlankLines {
    private static final int ENGINES = 12;
    private static final int IN_TROUBLE = 4;
    private static final double TROUBLE_SHARE = 0.02;
    private static final long TROUBLE_AT = 6_000;
    private static final long TROUBLE_MILLIS = 5_500;
    private static final long TROUBLE_PERIOD_MILLIS = 10_000;
    private static final long ENDLESS_BYTES_PER_SECOND = 1_000_000;
    private static final int APP_ENGINES = 4;
    private static final long QUERY_RUN_MILLIS = 50;
    private static final long PAYOUT_RUN_MILLIS = 20;
    private static final int QUERY_CALLERS = 8;
    private static final int PAYOUT_CALLERS = 3;
    private static final long PAUSE_MILLIS = 200;
    private static final long CONTACT_MILLIS = 3_000;
    private static final long END_AT = 106_000;
    private static final int ENOUGH = 60;

    private static final AtomicInteger IDS = new AtomicInteger();
    private static final AtomicInteger ENDLESS = new AtomicInteger();
    private static final Set<String> RUN = ConcurrentHashMap.newKeySet();

    /** A kind of request, with the figures of the sheet of fmrp-ostende. */
    private enum Kind {
        QUERY("/query/x", 3_000, 3_600, 770),
        PAYOUT("/payout/x", 800, 1_500, 600);

        final String path;
        final long timeoutMillis;
        final long budgetMillis;
        final int bodyBytes;

        Kind(String path, long timeoutMillis, long budgetMillis, int bodyBytes) {
            this.path = path;
            this.timeoutMillis = timeoutMillis;
            this.budgetMillis = budgetMillis;
            this.bodyBytes = bodyBytes;
        }
    }

    private static final class Counts {
        final AtomicInteger sent = new AtomicInteger();
        final AtomicInteger served = new AtomicInteger();
        final AtomicInteger pastTimeout = new AtomicInteger();
        final AtomicInteger unanswered = new AtomicInteger();
        final AtomicInteger runUnanswered = new AtomicInteger();
    }

    private static volatile boolean troubleIsOn;
    private static volatile boolean isOver;

    public static void main(String[] arguments) throws Exception {
        boolean withTrouble = !"0".equals(System.getenv("TROUBLE"));
        Kit.Record record = new Kit.Record(Path.of(arguments[0]));
        Path directory = Files.createTempDirectory("blank-lines");
        Kit.Store store = new Kit.Store();
        Kit.Server cloud = new Kit.Server((request, conn) -> conn.write(Kit.response(200, "", "{}")));
        List<String[]> engines = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            engines.add(startEngine("i-" + i, "zone-" + (i % 4), i < IN_TROUBLE, record));
        }
        for (int i = 0; i < APP_ENGINES; i++) {
            Kit.Server server = new Kit.Server((request, conn) -> {
                RUN.add(request.header("Request-Id"));
                Kit.sleep(PAYOUT_RUN_MILLIS);
                conn.write(Kit.response(
                        200,
                        "Request-Id: " + request.header("Request-Id") + "\r\nResponse-Signature: s\r\n",
                        "paid"));
            });
            engines.add(new String[] {"app", "a-" + i, server.address(), "zone-" + i});
        }
        store.put(
                "op/config",
                Kit.config(
                        1,
                        Kit.route("query", "stream", "lm", Kind.QUERY.timeoutMillis, false) + ","
                                + Kit.route("payout", "non_idempotent", "app", Kind.PAYOUT.timeoutMillis, false),
                        Kit.engineService("lm")
                                + ",{\"name\":\"app\",\"health_check\":\"/healthz\",\"max_connections\":110}"));
        Kit.background("beats", () -> {
            for (long seq = 1; ; seq++) {
                for (String[] engine : engines) {
                    store.put("servers/" + engine[1], Kit.entry(engine[0], engine[2], engine[3], "ready", "", seq));
                }
                Kit.sleep(1_200);
            }
        });
        Map<String, Kit.Node> nodes = new TreeMap<>();
        Map<String, Map<Kind, Counts>> counts = new TreeMap<>();
        for (int i = 0; i < 2; i++) {
            Kit.Node node = new Kit.Node("n" + i, "zone-" + i, directory, store.server.address(), cloud.address());
            node.start();
            nodes.put(node.name, node);
            counts.put(node.name, new EnumMap<>(Map.of(Kind.QUERY, new Counts(), Kind.PAYOUT, new Counts())));
        }
        for (Kit.Node node : nodes.values()) {
            if (!node.awaitReady(20_000)) {
                finish(record, 2, "node " + node.name + " is not ready");
            }
        }
        long readyAt = Kit.now();
        for (Kit.Node node : nodes.values()) {
            for (int i = 0; i < QUERY_CALLERS + PAYOUT_CALLERS; i++) {
                Kind kind = i < QUERY_CALLERS ? Kind.QUERY : Kind.PAYOUT;
                Kit.background(
                        "caller",
                        () -> call(node, kind, counts.get(node.name).get(kind), readyAt + CONTACT_MILLIS, record));
            }
        }
        while (Kit.now() < END_AT && sum(counts, count -> count.unanswered.get()) < ENOUGH) {
            Kit.sleep(500);
            long sinceTrouble = Kit.now() - readyAt - TROUBLE_AT;
            troubleIsOn = withTrouble && sinceTrouble > 0 && sinceTrouble % TROUBLE_PERIOD_MILLIS < TROUBLE_MILLIS;
            for (Kit.Node node : nodes.values()) {
                counts.get(node.name).forEach((kind, count) -> record.line(
                        "%s %s: sent %d, served %d, past the timeout %d, unanswered 0.5 s later %d, of these run %d",
                        node.name,
                        kind,
                        count.sent.get(),
                        count.served.get(),
                        count.pastTimeout.get(),
                        count.unanswered.get(),
                        count.runUnanswered.get()));
            }
            record.line("engines ran %d requests; %d streams without end are open", RUN.size(), ENDLESS.get());
        }
        isOver = true;
        int past = sum(counts, count -> count.pastTimeout.get());
        int unanswered = sum(counts, count -> count.unanswered.get());
        boolean broken = unanswered >= 8 && 2 * unanswered > past;
        finish(
                record,
                broken ? 1 : 0,
                past + " requests were unanswered at the route's timeout, " + unanswered
                        + " of them half a second later, of which engines had run "
                        + sum(counts, count -> count.runUnanswered.get()));
    }

    private static String[] startEngine(String id, String zone, boolean mayBeInTrouble, Kit.Record record)
            throws Exception {
        AtomicInteger answers = new AtomicInteger();
        AtomicInteger spoiled = new AtomicInteger();
        Kit.Server server = new Kit.Server((request, conn) -> {
            if (request.target.startsWith("/-/")) {
                conn.write(Kit.response(200, "Content-Type: application/json\r\n", "{\"seq\":0}"));
                return;
            }
            RUN.add(request.header("Request-Id"));
            answers.incrementAndGet();
            Kit.sleep(QUERY_RUN_MILLIS);
            conn.write("HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("Request-Id")
                    + "\r\nResponse-Signature: s\r\nContent-Type: text/event-stream\r\n"
                    + "Transfer-Encoding: chunked\r\n\r\n" + chunk("id: 1\ndata: balance\n\n"));
            if (troubleIsOn && mayBeInTrouble && spoiled.get() + 1 <= TROUBLE_SHARE * answers.get()) {
                spoiled.incrementAndGet();
                writeBlankLines(conn, id + ", request " + request.header("Request-Id"), answers.get(), record);
            }
            conn.write(chunk("id: 2\ndata: end\n\n") + "0\r\n\r\n");
        });
        return new String[] {"lm", id, server.address(), zone};
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static void writeBlankLines(Kit.Conn conn, String stream, int answers, Kit.Record record)
            throws Exception {
        byte[] bytes = chunk("\n".repeat(4_096)).getBytes();
        long from = Kit.now();
        long sent = 0;
        record.line("engine %s: goes on with blank lines without end; the engine has given %d answers", stream, answers);
        ENDLESS.incrementAndGet();
        try {
            while (true) {
                conn.out.write(bytes);
                sent += bytes.length;
                Kit.sleep(from + sent * 1_000 / ENDLESS_BYTES_PER_SECOND - Kit.now());
            }
        } finally {
            ENDLESS.decrementAndGet();
            record.line("engine %s: the node closed after %d bytes, %d ms", stream, sent, Kit.now() - from);
        }
    }

    private static int sum(Map<String, Map<Kind, Counts>> counts, ToIntFunction<Counts> figure) {
        return counts.values().stream()
                .flatMap(kinds -> kinds.values().stream())
                .mapToInt(figure)
                .sum();
    }

    private static void call(Kit.Node node, Kind kind, Counts counts, long judgedFrom, Kit.Record record) {
        Socket socket = null;
        String body = "x".repeat(kind.bodyBytes);
        while (!isOver) {
            try {
                if (socket == null) {
                    socket = new Socket("127.0.0.1", node.callers);
                }
                String id = "r" + IDS.incrementAndGet();
                long sentAt = Kit.now();
                counts.sent.incrementAndGet();
                Kit.Answer answer =
                        Kit.call(socket, "POST", kind.path, headers(kind, id), body, kind.budgetMillis);
                long took = Kit.now() - sentAt;
                if (answer.status() == 200 && answer.complete()) {
                    counts.served.incrementAndGet();
                }
                // A stream whose first event has come is not counted, whatever follows.
                boolean begun = kind == Kind.QUERY && answer.body().contains("id: 1");
                if (sentAt >= judgedFrom && took > kind.timeoutMillis && !begun) {
                    counts.pastTimeout.incrementAndGet();
                    if (took > kind.timeoutMillis + 500) {
                        counts.unanswered.incrementAndGet();
                        if (RUN.contains(id)) {
                            counts.runUnanswered.incrementAndGet();
                        }
                        record.line(
                                "%s: %s %s, sent at %d ms: after %d ms %s; run by an engine: %b",
                                node.name,
                                kind,
                                id,
                                sentAt,
                                took,
                                answer.status() == 0 ? "no answer, the caller leaves" : "status " + answer.status(),
                                RUN.contains(id));
                    }
                }
                if (answer.status() == 0 || !answer.complete() || "close".equals(answer.headers().get("Connection"))) {
                    socket.close();
                    socket = null;
                }
            } catch (Exception e) {
                socket = null;
            }
            Kit.sleep(PAUSE_MILLIS);
        }
    }

    private static Map<String, String> headers(Kind kind, String id) {
        Map<String, String> headers = new TreeMap<>();
        headers.put("Request-Id", id);
        headers.put("Deadline-Ms", "" + kind.budgetMillis);
        headers.put("Credential", "key-1");
        if (kind == Kind.QUERY) {
            headers.put("Model", "m");
            headers.put("Token-Counts", "383,3");
            headers.put("Prefix-Hash", "a1:92," + id.replace('r', 'b') + ":291");
        }
        return headers;
    }

    private static void finish(Kit.Record record, int status, String reason) {
        record.line("%s: %s", status == 1 ? "BROKEN" : status == 0 ? "held" : "could not run", reason);
        System.out.println(reason);
        System.exit(status);
    }
}
