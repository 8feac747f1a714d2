package review;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** CONFIG: payouts at sound engines stay unanswered while the engines of another service send bytes without end. */
final class EndlessCase {
    private static final int NODES = 2;
    private static final int STREAMS_PER_NODE = Integer.getInteger("streams", 200);
    private static final int PAY_TIMEOUT_MILLIS = 1_500;
    private static final int STREAM_TIMEOUT_MILLIS = 5_000;
    private static final long LATE_MILLIS = 500;

    private EndlessCase() {}

    /** An engine that begins an answer and, while it is in trouble, sends bytes without end that are no event. */
    private static final class StreamServer extends Engine {
        private static final int PART_BYTES = 8_192;
        private static final long PAUSE_MILLIS = 40;
        static volatile boolean inTrouble;

        StreamServer(Record record, Store store, String id, String zone) throws IOException {
            super(record, store, id, "lm", zone, "v1", 64, 150);
        }

        @Override
        protected void run(Http.Message request, Socket socket) throws IOException {
            write(socket, "HTTP/1.1 200 OK\r\n" + commonHeaders(request) + "Response-Signature: 0\r\n"
                    + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            if (!inTrouble) {
                String event = "id: 1\ndata: a\n\n";
                write(socket, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n0\r\n\r\n");
                return;
            }
            String part = Integer.toHexString(PART_BYTES) + "\r\n" + "x".repeat(PART_BYTES) + "\r\n";
            while (true) {
                write(socket, part);
                Http.sleep(PAUSE_MILLIS);
            }
        }

        private static void write(Socket socket, String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
        }
    }

    public static void main(String[] arguments) throws Exception {
        Path repository = Path.of(arguments[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(arguments[1]).resolve("record.txt"));
        int status = 2;
        Nodes nodes = null;
        try {
            Store store = new Store(record);
            Cloud cloud = new Cloud(record);
            store.put("op/config", Config.of(7, "app", "lm"));
            List<String> zones = List.of("ostend-a", "zeebrugge-b", "nieuwpoort-c", "bruges-d");
            for (String zone : zones) {
                new Engine(record, store, "i-" + zone, "app", zone, "v1", 6, 20).start();
                new StreamServer(record, store, "lm-" + zone + "-1", zone).start();
                new StreamServer(record, store, "lm-" + zone + "-2", zone).start();
            }
            nodes = new Nodes(repository, record);
            for (String zone : zones.subList(0, NODES)) {
                nodes.add("front-" + zone + "-1", zone, store.address(), cloud.address());
            }
            nodes.startAll();
            record.note("all nodes are ready");
            Clients clients = new Clients(record);
            for (Nodes.Node node : nodes.all) {
                for (int i = 0; i < STREAMS_PER_NODE; i++) {
                    clients.start(node, "/stream/1", "POST", 300, STREAM_TIMEOUT_MILLIS, "");
                }
                for (int i = 0; i < 4; i++) {
                    // The time budget is longer than the route's timeout, so that the client waits for a late answer.
                    clients.start(node, "/pay/1", "POST", 150, 3 * PAY_TIMEOUT_MILLIS, "");
                }
            }
            Http.sleep(10_000);
            if (trouble) {
                StreamServer.inTrouble = true;
                record.note("the engines of lm are in trouble: their answers go on without end");
            }
            Http.sleep(20_000);
            if (trouble) {
                StreamServer.inTrouble = false;
                record.note("the engines of lm are sound again");
            }
            Http.sleep(5_000);
            clients.stop();
            int unanswered = 0;
            int unansweredLater = 0;
            for (Nodes.Node node : nodes.all) {
                Map<Integer, Integer> byStatus = new TreeMap<>();
                for (Clients.Call call : clients.snapshot()) {
                    if (call.node().equals(node.name) && call.path().startsWith("/pay/")) {
                        long tookMillis = call.endMillis() - call.sentMillis();
                        unanswered += tookMillis > PAY_TIMEOUT_MILLIS ? 1 : 0;
                        unansweredLater += tookMillis > PAY_TIMEOUT_MILLIS + LATE_MILLIS ? 1 : 0;
                        byStatus.merge(call.status(), 1, Integer::sum);
                    }
                }
                record.note(node.name + ": process alive " + node.process.isAlive() + "; payouts by status " + byStatus
                        + " (0: never answered)");
            }
            boolean broken = unansweredLater >= 8 && 2 * unansweredLater > unanswered;
            status = broken ? 1 : 0;
            record.note((broken ? "BROKEN (CONFIG): of " : "held: of ") + unanswered
                    + " payouts that were unanswered at their route's timeout_ms, " + unansweredLater
                    + " had no answer half a second later");
            nodes.copyLogs("heap space", "store.lost", "store.regained", "duty.held");
        } catch (Exception e) {
            record.note("the case could not run: " + e);
            e.printStackTrace();
        } finally {
            if (nodes != null) {
                nodes.killAll();
            }
            record.close();
        }
        System.exit(status);
    }
}
