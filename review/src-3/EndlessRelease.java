import java.net.Socket;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;
import java.util.function.*;

/** Engines in trouble answer a few releases of KV cache with bytes without end, which the node reads for good. */
final class EndlessRelease {
    private static final int PREFILL_ENGINES = 7;
    private static final int DECODE_ENGINES = 5;
    private static final int IN_TROUBLE = 3;
    private static final int SLOTS = 2;
    private static final int QUEUE = 2;
    private static final int CALLERS = 40;
    private static final int OTHER_CALLERS = 4;
    private static final int BODY_BYTES = 34_000;
    private static final long PREFILL_MILLIS = 80;
    private static final long DECODE_MILLIS = 120;
    private static final long WHOLE_RUN_MILLIS = 450;
    private static final int APP_ENGINES = 4;
    private static final long APP_RUN_MILLIS = 20;
    private static final int PAYOUT_CALLERS = 4;
    private static final long CONTACT_MILLIS = 3_000;
    private static final long TROUBLE_AT = 8_000;
    private static final long TROUBLE_MILLIS = 5_500;
    private static final long TROUBLE_PERIOD_MILLIS = 8_000;
    private static final double TROUBLE_SHARE = 1;
    private static final long ENDLESS_BYTES_PER_SECOND = 4_000_000;
    private static final int TOKEN_BYTES = 1;
    private static final long END_AT = 106_000;
    private static final int ENOUGH = 100;

    private static final AtomicInteger IDS = new AtomicInteger();
    private static final AtomicInteger PREFILLS = new AtomicInteger();
    private static final AtomicInteger RUNS = new AtomicInteger();
    private static final AtomicInteger FULL = new AtomicInteger();
    private static final AtomicInteger RELEASES = new AtomicInteger();
    private static final AtomicInteger ENDLESS = new AtomicInteger();

    /** A kind of request, with the figures of the sheet of fmrp-ostende. */
    private enum Kind {
        STATEMENT("/statement/x", 5_000, 5_000, BODY_BYTES),
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
        final AtomicInteger other = new AtomicInteger();
        final AtomicInteger pastTimeout = new AtomicInteger();
        final AtomicInteger unanswered = new AtomicInteger();
    }

    private static volatile boolean troubleIsOn;
    private static volatile boolean isOver;

    public static void main(String[] arguments) throws Exception {
        boolean withTrouble = !"0".equals(System.getenv("TROUBLE"));
        Kit.Record record = new Kit.Record(Path.of(arguments[0]));
        Path directory = Files.createTempDirectory("endless-release");
        Kit.Store store = new Kit.Store();
        Kit.Server cloud = new Kit.Server((request, conn) -> conn.write(Kit.response(200, "", "{}")));
        List<String[]> engines = new ArrayList<>();
        for (int i = 0; i < PREFILL_ENGINES + DECODE_ENGINES; i++) {
            String id = "i-" + i;
            boolean isPrefill = i < PREFILL_ENGINES;
            boolean mayBeInTrouble = i < IN_TROUBLE;
            AtomicInteger answers = new AtomicInteger();
            AtomicInteger spoiled = new AtomicInteger();
            AtomicInteger open = new AtomicInteger();
            Semaphore slots = new Semaphore(SLOTS, true);
            Kit.Server server = new Kit.Server((request, conn) -> {
                answers.incrementAndGet();
                if (request.target.startsWith("/-/report")) {
                    conn.write(Kit.response(
                            200,
                            "Content-Type: application/json\r\n",
                            "{\"stage\":\"" + (isPrefill ? "prefill" : "decode") + "\",\"busy\":false,\"seq\":0}"));
                } else if (request.target.startsWith("/-/order")) {
                    conn.write(Kit.response(409, "", "{}"));
                } else if (request.method.equals("DELETE")) {
                    RELEASES.incrementAndGet();
                    boolean isBad = troubleIsOn
                            && mayBeInTrouble
                            && spoiled.get() + 1 <= TROUBLE_SHARE * answers.get();
                    if (isBad) {
                        record.line(
                                "engine %s: answer %d to a release goes on without end; it has given %d answers",
                                id, spoiled.incrementAndGet(), answers.get());
                        writeWithoutEnd(conn, id, record);
                    }
                    conn.write(Kit.response(200, "", "{}"));
                } else if (request.header("Stage").equals("prefill")) {
                    PREFILLS.incrementAndGet();
                    Kit.sleep(PREFILL_MILLIS);
                    conn.write(Kit.response(
                            200,
                            "Request-Id: " + request.header("Request-Id") + "\r\nContent-Type: application/json\r\n",
                            "{\"kv_handle\":\"" + UUID.randomUUID().toString().substring(24)
                                    + "\",\"tokens\":17000,\"version\":1}"));
                } else {
                    decode(request, conn, slots, open);
                }
            });
            engines.add(new String[] {id, server.address(), "zone-" + (i % 4), isPrefill ? "prefill" : "decode"});
        }
        List<String[]> apps = new ArrayList<>();
        for (int i = 0; i < APP_ENGINES; i++) {
            Kit.Server server = new Kit.Server((request, conn) -> {
                RUNS.incrementAndGet();
                Kit.sleep(APP_RUN_MILLIS);
                conn.write(Kit.response(
                        200,
                        "Request-Id: " + request.header("Request-Id") + "\r\nResponse-Signature: s\r\n",
                        "paid"));
            });
            apps.add(new String[] {"a-" + i, server.address(), "zone-" + i});
        }
        store.put(
                "op/config",
                Kit.config(
                        1,
                        Kit.route("statement", "stream", "lm", Kind.STATEMENT.timeoutMillis, false) + ","
                                + Kit.route("payout", "non_idempotent", "app", Kind.PAYOUT.timeoutMillis, false),
                        Kit.engineService("lm")
                                + ",{\"name\":\"app\",\"health_check\":\"/healthz\",\"max_connections\":110}"));
        Kit.background("beats", () -> {
            for (long seq = 1; ; seq++) {
                for (String[] engine : engines) {
                    String entry = Kit.entry("lm", engine[1], engine[2], "ready", ",\"stage\":\"" + engine[3] + "\"", seq);
                    store.put(
                            "servers/" + engine[0],
                            engine[3].equals("decode")
                                    ? entry.replace("\"slots\":64", "\"slots\":" + SLOTS)
                                    : entry);
                }
                for (String[] app : apps) {
                    store.put("servers/" + app[0], Kit.entry("app", app[1], app[2], "ready", "", seq));
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
            counts.put(node.name, new EnumMap<>(Map.of(Kind.STATEMENT, new Counts(), Kind.PAYOUT, new Counts())));
        }
        for (Kit.Node node : nodes.values()) {
            if (!node.awaitReady(20_000)) {
                finish(record, 2, "node " + node.name + " is not ready");
            }
        }
        long readyAt = Kit.now();
        for (Kit.Node node : nodes.values()) {
            int callers = node.name.equals("n0") ? CALLERS : OTHER_CALLERS;
            for (int i = 0; i < callers + PAYOUT_CALLERS; i++) {
                Kind kind = i < callers ? Kind.STATEMENT : Kind.PAYOUT;
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
                        "%s %s: sent %d, served %d, other answers or none %d, past the timeout %d,"
                                + " unanswered 0.5 s later %d",
                        node.name,
                        kind,
                        count.sent.get(),
                        count.served.get(),
                        count.other.get(),
                        count.pastTimeout.get(),
                        count.unanswered.get()));
                record.line("%s: process is alive: %b, ready: %b", node.name, node.process.isAlive(), node.isReady());
            }
            record.line(
                    "engines: %d prefills, %d runs, %d refused as full, %d releases, %d answers without end are open",
                    PREFILLS.get(), RUNS.get(), FULL.get(), RELEASES.get(), ENDLESS.get());
        }
        isOver = true;
        int past = sum(counts, count -> count.pastTimeout.get());
        int unanswered = sum(counts, count -> count.unanswered.get());
        boolean broken = unanswered >= 8 && 2 * unanswered > past;
        finish(record, broken ? 1 : 0, past + " requests were unanswered at the route's timeout, " + unanswered
                + " of them half a second later; " + ENDLESS.get() + " answers without end were still being read");
    }

    private static int sum(Map<String, Map<Kind, Counts>> counts, ToIntFunction<Counts> figure) {
        return counts.values().stream()
                .flatMap(kinds -> kinds.values().stream())
                .mapToInt(figure)
                .sum();
    }

    /** Runs a request, or refuses it when the slots and the queue are full. */
    private static void decode(Kit.Request request, Kit.Conn conn, Semaphore slots, AtomicInteger open)
            throws Exception {
        String id = "Request-Id: " + request.header("Request-Id") + "\r\n";
        if (open.incrementAndGet() > SLOTS + QUEUE) {
            open.decrementAndGet();
            FULL.incrementAndGet();
            conn.write(Kit.response(503, id + "Not-Executed: 1\r\n", ""));
            return;
        }
        try {
            slots.acquire();
            RUNS.incrementAndGet();
            Kit.sleep(request.header("Kv-Source").isEmpty() ? WHOLE_RUN_MILLIS : DECODE_MILLIS);
            slots.release();
        } finally {
            open.decrementAndGet();
        }
        conn.write("HTTP/1.1 200 OK\r\n" + id + "Response-Signature: s\r\nContent-Type: text/event-stream\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n" + chunk("id: 1\ndata: statement\n\n") + "0\r\n\r\n");
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Writes a chunk of a few bytes after the other, as of tokens, until the node closes the connection. */
    private static void writeWithoutEnd(Kit.Conn conn, String id, Kit.Record record) throws Exception {
        byte[] bytes = chunk("x".repeat(TOKEN_BYTES)).repeat(1_000).getBytes();
        long from = Kit.now();
        long sent = 0;
        ENDLESS.incrementAndGet();
        try {
            conn.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            while (true) {
                conn.out.write(bytes);
                sent += bytes.length;
                Kit.sleep(from + sent * 1_000 / ENDLESS_BYTES_PER_SECOND - Kit.now());
            }
        } finally {
            ENDLESS.decrementAndGet();
            record.line("engine %s: the node closed after %d bytes without end, %d ms", id, sent, Kit.now() - from);
        }
    }

    private static void call(Kit.Node node, Kind kind, Counts counts, long judgedFrom, Kit.Record record) {
        Socket socket = null;
        String body = "x".repeat(kind.bodyBytes);
        while (!isOver) {
            try {
                if (socket == null) {
                    socket = new Socket("127.0.0.1", node.callers);
                }
                int number = IDS.incrementAndGet();
                long sentAt = Kit.now();
                counts.sent.incrementAndGet();
                Kit.Answer answer = Kit.call(
                        socket,
                        "POST",
                        kind.path,
                        headers(kind, number),
                        body,
                        kind.budgetMillis);
                long took = Kit.now() - sentAt;
                (answer.status() == 200 ? counts.served : counts.other).incrementAndGet();
                if (sentAt >= judgedFrom && took > kind.timeoutMillis) {
                    counts.pastTimeout.incrementAndGet();
                    if (took > kind.timeoutMillis + 500) {
                        counts.unanswered.incrementAndGet();
                        record.line(
                                "%s: %s r%d, sent at %d ms: after %d ms %s",
                                node.name,
                                kind,
                                number,
                                sentAt,
                                took,
                                answer.status() == 0 ? "no answer, the caller leaves" : "status " + answer.status());
                    }
                }
                if (answer.status() == 0 || !answer.complete() || "close".equals(answer.headers().get("Connection"))) {
                    socket.close();
                    socket = null;
                }
                Kit.sleep(answer.status() == 200 ? 20 : 200);
            } catch (Exception e) {
                socket = null;
                Kit.sleep(100);
            }
        }
    }

    private static Map<String, String> headers(Kind kind, int number) {
        Map<String, String> headers = new TreeMap<>();
        headers.put("Request-Id", "r" + number);
        headers.put("Deadline-Ms", "" + kind.budgetMillis);
        headers.put("Credential", "key-1");
        if (kind == Kind.STATEMENT) {
            headers.put("Model", "m");
            headers.put("Token-Counts", "17000,9");
            headers.put("Prefix-Hash", "a1:13300," + Integer.toHexString(0x1000000 + number) + ":3700");
        }
        return headers;
    }

    private static void finish(Kit.Record record, int status, String reason) {
        record.line("%s: %s", status == 1 ? "BROKEN" : status == 0 ? "held" : "could not run", reason);
        System.out.println(reason);
        System.exit(status);
    }
}
