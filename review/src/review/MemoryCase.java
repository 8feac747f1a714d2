package review;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** A server whose answers have no end. */
final class MemoryCase {
    private MemoryCase() {}

    /** An engine in trouble: the body of each answer has no end, until the caller closes. */
    private static final class EndlessEngine extends Engine {
        volatile boolean endless;
        final AtomicLong bytes = new AtomicLong();
        final AtomicLong answers = new AtomicLong();

        EndlessEngine(Record record, Store store, String id, String service, String zone) throws IOException {
            super(record, store, id, service, zone, "v1", 6, 20);
        }

        @Override
        protected void run(Http.Message request, Socket socket) throws IOException {
            if (!endless) {
                super.run(request, socket);
                return;
            }
            answers.incrementAndGet();
            socket.getOutputStream()
                    .write(("HTTP/1.1 200 OK\r\n" + commonHeaders(request)
                                    + "Response-Signature: 0\r\nTransfer-Encoding: chunked\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            byte[] part = new byte[16_384];
            java.util.Arrays.fill(part, (byte) 'x');
            byte[] head = (Integer.toHexString(part.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
            byte[] end = "\r\n".getBytes(StandardCharsets.ISO_8859_1);
            long sent = 0;
            try {
                // Not faster than the link of a machine, 1,000 Mbit/s.
                long startNanos = System.nanoTime();
                while (true) {
                    socket.getOutputStream().write(head);
                    socket.getOutputStream().write(part);
                    socket.getOutputStream().write(end);
                    sent += part.length;
                    bytes.addAndGet(part.length);
                    long dueNanos = startNanos + sent * Integer.getInteger("nanosPerByte", 8);
                    long aheadMillis = (dueNanos - System.nanoTime()) / 1_000_000;
                    if (aheadMillis > 0) {
                        Http.sleep(aheadMillis);
                    }
                }
            } finally {
                record.line("engine " + id + ": the caller closed an endless answer after " + sent + " bytes");
            }
        }
    }

    public static void main(String[] arguments) throws Exception {
        Path repository = Path.of(arguments[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int readers = Integer.getInteger("readers", 6);
        Record record = new Record(Path.of(arguments[1]).resolve("record.txt"));
        int status = 2;
        Nodes nodes = null;
        try {
            Store store = new Store(record);
            Cloud cloud = new Cloud(record);
            store.put("op/config", Config.of(7, "app"));
            List<String> zones = List.of("ostend-a", "zeebrugge-b", "nieuwpoort-c", "bruges-d");
            List<EndlessEngine> engines = new ArrayList<>();
            for (String zone : zones) {
                EndlessEngine engine = new EndlessEngine(record, store, "i-" + zone, "app", zone);
                engine.start();
                engines.add(engine);
            }
            nodes = new Nodes(repository, record);
            for (String zone : zones.subList(0, Integer.getInteger("nodes", 2))) {
                nodes.add("front-" + zone + "-1", zone, store.address(), cloud.address());
            }
            nodes.startAll();
            Clients clients = new Clients(record);
            for (Nodes.Node node : nodes.all) {
                for (int i = 0; i < readers; i++) {
                    clients.start(node, "/pay/1", "POST", 150, 1_500, "");
                    clients.start(node, "/read/1", "GET", 150, 1_500, "");
                }
            }
            Http.sleep(6_000);
            if (trouble) {
                for (int i = 0; i < Integer.getInteger("bad", 2); i++) {
                    engines.get(i).endless = true;
                }
                record.note("engine i-ostend-a: its answers have no end from now on");
            }
            Http.sleep(15_000);
            for (EndlessEngine engine : engines) {
                engine.endless = false;
            }
            record.note("all engines are sound again");
            Http.sleep(5_000);
            store.put("op/config", Config.of(8, "app").replace("\"/read/\"", "\"/new/\""));
            record.note("config 8 is confirmed: /read/ is dropped, /new/ is there");
            Http.sleep(4_000);
            for (Nodes.Node node : nodes.all) {
                clients.start(node, "/new/1", "GET", 150, 1_500, "");
            }
            Http.sleep(5_000);
            clients.stop();
            for (Nodes.Node node : nodes.all) {
                java.util.Map<String, Long> byStatus = new java.util.TreeMap<>();
                clients.snapshot().stream().filter(call -> call.node().equals(node.name) && call.path().equals("/new/1")).forEach(call -> byStatus.merge("" + call.status(), 1L, Long::sum));
                record.note(node.name + ": /new/ answered " + byStatus);
            }
            for (Nodes.Node node : nodes.all) {
                long lost = clients.snapshot().stream()
                        .filter(call -> call.node().equals(node.name) && call.status() == 0)
                        .count();
                record.note(node.name + ": alive " + node.process.isAlive() + ", ready " + node.isReady() + ", requests "
                        + clients.snapshot().stream().filter(call -> call.node().equals(node.name)).count()
                        + ", without an answer " + lost);
            }
            record.note("endless answers " + engines.get(0).answers + ", bytes " + engines.get(0).bytes);
            status = 0;
            nodes.copyLogs("OutOfMemory", "heap space", "caller.failed", "config.inForce", "duty.held", "usage.");
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
