import java.net.Socket;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** Engines in trouble answer the node that orders their stages with bytes without end. */
final class EndlessReport {
    private static final int ENGINES = 24;
    private static final int IN_TROUBLE = 12;
    private static final int CALLERS = 100;
    private static final int BODY_BYTES = 100_000;
    private static final long RUN_MILLIS = 300;
    private static final int APP_ENGINES = 4;
    private static final long APP_RUN_MILLIS = 20;
    private static final int PAYOUT_CALLERS = 6;
    private static final long CONTACT_MILLIS = 3_000;
    private static final long TROUBLE_AT = 12_000;
    private static final long END_AT = 106_000;
    private static final int ENOUGH = 150;

    private static final AtomicInteger IDS = new AtomicInteger();

    /** A kind of request, with the time-outs and budgets of the sheet of fmrp-ostende. */
    private enum Kind {
        STATEMENT("/statement/x", 5_000, 5_600, BODY_BYTES),
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
        final AtomicInteger answered = new AtomicInteger();
        final AtomicInteger refused = new AtomicInteger();
        final AtomicInteger pastTimeout = new AtomicInteger();
        final AtomicInteger unanswered = new AtomicInteger();
    }

    private static volatile boolean troubleIsOn;
    private static volatile boolean isOver;
    private static volatile String holder = "";

    public static void main(String[] arguments) throws Exception {
        boolean withTrouble = !"0".equals(System.getenv("TROUBLE"));
        Kit.Record record = new Kit.Record(Path.of(arguments[0]));
        Path directory = Files.createTempDirectory("endless-report");
        Kit.Store store = new Kit.Store();
        Kit.Server cloud = new Kit.Server((request, conn) -> conn.write(Kit.response(200, "", "{}")));
        AtomicInteger runs = new AtomicInteger();
        Set<String> inTrouble = ConcurrentHashMap.newKeySet();
        List<String[]> engines = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            String id = "i-" + i;
            // 2.2 to 4.6 MB a second; all together less than half of a machine's link of 1,000 Mbit/s.
            long bytesPerSecond = 2_200_000L * (10 + i % 12) / 10;
            Kit.Server server = new Kit.Server((request, conn) -> {
                if (request.target.startsWith("/-/report")) {
                    boolean isBad = troubleIsOn && (inTrouble.size() < IN_TROUBLE || inTrouble.contains(id));
                    if (isBad && inTrouble.add(id)) {
                        record.line("engine %s is in trouble from now on", id);
                    }
                    if (!isBad) {
                        conn.write(Kit.response(200, "Content-Type: application/json\r\n", report()));
                        return;
                    }
                    writeWithoutEnd(conn, bytesPerSecond, id, record);
                } else if (request.target.startsWith("/-/order")) {
                    holder = request.text().replaceAll(".*\"holder\":\"([^\"]*)\".*", "$1");
                    record.line("engine %s gets an order: %s", id, request.text());
                    conn.write(Kit.response(202, "", "{}"));
                } else {
                    runs.incrementAndGet();
                    Kit.sleep(RUN_MILLIS);
                    conn.write("HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("Request-Id")
                            + "\r\nResponse-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("id: 1\ndata: statement\n\n") + "0\r\n\r\n");
                }
            });
            engines.add(new String[] {id, server.address(), "zone-" + (i % 4)});
        }
        for (int i = 0; i < APP_ENGINES; i++) {
            Kit.Server server = new Kit.Server((request, conn) -> {
                runs.incrementAndGet();
                Kit.sleep(APP_RUN_MILLIS);
                conn.write(Kit.response(
                        200,
                        "Request-Id: " + request.header("Request-Id") + "\r\nResponse-Signature: s\r\n",
                        "paid"));
            });
            engines.add(new String[] {"a-" + i, server.address(), "zone-" + i});
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
                    boolean isApp = engine[0].startsWith("a-");
                    store.put(
                            "servers/" + engine[0],
                            Kit.entry(
                                    isApp ? "app" : "lm",
                                    engine[1],
                                    engine[2],
                                    "ready",
                                    isApp ? "" : ",\"stage\":\"decode\"",
                                    seq));
                }
                Kit.sleep(1_200);
            }
        });
        Map<String, Kit.Node> nodes = new TreeMap<>();
        Map<String, Counts> counts = new TreeMap<>();
        for (int i = 0; i < 2; i++) {
            Kit.Node node = new Kit.Node("n" + i, "zone-" + i, directory, store.server.address(), cloud.address());
            node.start();
            nodes.put(node.name, node);
            counts.put(node.name, new Counts());
        }
        for (Kit.Node node : nodes.values()) {
            if (!node.awaitReady(20_000)) {
                finish(record, 2, "node " + node.name + " is not ready");
            }
        }
        long readyAt = Kit.now();
        while (holder.isEmpty()) {
            if (Kit.now() - readyAt > 15_000) {
                finish(record, 2, "no engine has got an order");
            }
            Kit.sleep(50);
        }
        Kit.Node busy = nodes.get(holder);
        record.line("node %s orders the engines; %d callers of statements send to it, 5 to the other one", busy.name, CALLERS);
        for (Kit.Node node : nodes.values()) {
            int statements = node == busy ? CALLERS : 5;
            for (int i = 0; i < statements + PAYOUT_CALLERS; i++) {
                Kind kind = i < statements ? Kind.STATEMENT : Kind.PAYOUT;
                Kit.background(
                        "caller", () -> call(node, kind, counts.get(node.name), readyAt + CONTACT_MILLIS, record));
            }
        }
        while (Kit.now() < END_AT && counts.get(busy.name).unanswered.get() < ENOUGH) {
            Kit.sleep(1_000);
            troubleIsOn = withTrouble && Kit.now() - readyAt > TROUBLE_AT;
            counts.forEach((name, count) -> record.line(
                    "%s: sent %d, answered %d, refused %d, past the timeout %d, unanswered 0.5 s later %d;"
                            + " engines ran %d; process is alive: %b, ready: %b",
                    name,
                    count.sent.get(),
                    count.answered.get(),
                    count.refused.get(),
                    count.pastTimeout.get(),
                    count.unanswered.get(),
                    runs.get(),
                    nodes.get(name).process.isAlive(),
                    nodes.get(name).isReady()));
        }
        isOver = true;
        int past = counts.values().stream().mapToInt(count -> count.pastTimeout.get()).sum();
        int unanswered = counts.values().stream().mapToInt(count -> count.unanswered.get()).sum();
        boolean broken = unanswered >= 8 && 2 * unanswered > past;
        finish(record, broken ? 1 : 0, past + " requests were unanswered at the route's timeout, " + unanswered
                + " of them half a second later");
    }

    private static String report() {
        return "{\"stage\":\"decode\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"busy\":false,"
                + "\"seq\":0,\"waiting\":0,\"running\":0,\"kv_used\":0,\"kv_total\":440441,\"kv_handles\":0}";
    }

    private static String chunk(String event) {
        return Integer.toHexString(event.length()) + "\r\n" + event + "\r\n";
    }

    private static void writeWithoutEnd(Kit.Conn conn, long bytesPerSecond, String id, Kit.Record record)
            throws Exception {
        conn.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n");
        byte[] bytes = new byte[16_384];
        Arrays.fill(bytes, (byte) ' ');
        long from = Kit.now();
        long sent = 0;
        try {
            while (true) {
                conn.out.write(bytes);
                sent += bytes.length;
                Kit.sleep(from + sent * 1_000 / bytesPerSecond - Kit.now());
            }
        } finally {
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
                (answer.status() == 200 ? counts.answered : counts.refused).incrementAndGet();
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
                if (kind == Kind.PAYOUT || answer.status() == 503) {
                    Kit.sleep(200);
                }
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
