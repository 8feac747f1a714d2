package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** DRAIN: an engine that has left gets requests again after the store has come back from a copy. */
final class DrainCase {
    private static final long DRAIN_MILLIS = 2_000;

    private DrainCase() {}

    public static void main(String[] arguments) throws Exception {
        Path repository = Path.of(arguments[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(arguments[1]).resolve("record.txt"));
        int status = 2;
        Nodes nodes = null;
        try {
            Store store = new Store(record);
            Cloud cloud = new Cloud(record);
            store.put("op/config", Config.of(7, "app"));
            List<String> zones = List.of("ostend-a", "zeebrugge-b", "nieuwpoort-c", "bruges-d");
            List<Engine> engines = new ArrayList<>();
            for (String zone : zones) {
                engines.add(new Engine(record, store, "i-" + zone, "app", zone, "v1", 6, 20).start());
            }
            nodes = new Nodes(repository, record);
            for (String zone : zones) {
                nodes.add("front-" + zone + "-1", zone, store.address(), cloud.address());
            }
            nodes.startAll();
            record.note("all nodes are ready");
            Clients clients = new Clients(record);
            for (Nodes.Node node : nodes.all) {
                for (int i = 0; i < 3; i++) {
                    clients.start(node, "/pay/1", "POST", 60, 1_500, "");
                }
                clients.start(node, "/read/1", "GET", 60, 1_500, "");
            }
            Http.sleep(8_000);
            Engine leaver = engines.get(0);
            leaver.leave();
            Http.sleep(3_500);
            if (trouble) {
                long left = System.nanoTime();
                store.leave();
                Http.sleep(1_000);
                store.comeBack(left, 4_500, true);
                // What the operator wrote is written again; the engines write their entries themselves. The leaver writes
                // none, so the platform removes its entry after three heartbeats without one.
                store.put("op/config", Config.of(7, "app"));
                Http.sleep(3 * Engine.HEARTBEAT_MILLIS);
                leaver.removeEntryAgain();
            }
            Http.sleep(3_000);
            leaver.exit();
            Http.sleep(1_000);
            clients.stop();
            // When each node first passed on an answer in which the engine says that it leaves.
            Map<String, Long> toldMillis = new HashMap<>();
            Map<String, Clients.Call> callById = new HashMap<>();
            for (Clients.Call call : clients.snapshot()) {
                callById.put(call.id(), call);
                if (call.leaving() && call.body().endsWith(" by " + leaver.id)) {
                    toldMillis.merge(call.node(), call.endMillis(), Math::min);
                }
            }
            record.note("nodes passed on the first answer with Server-Leaving at (ms) " + toldMillis);
            Map<String, Integer> late = new HashMap<>();
            for (Engine.Arrival arrival : leaver.arrivals) {
                Clients.Call call = callById.get(arrival.id());
                Long told = call == null ? null : toldMillis.get(call.node());
                if (told != null && call.sentMillis() > told + DRAIN_MILLIS) {
                    late.merge(call.node(), 1, Integer::sum);
                    record.line("late: " + arrival + ", sent by its client at " + call.sentMillis() + " ms to " + call.node()
                            + ", which had passed on Server-Leaving at " + told + " ms; answered " + call.status());
                }
            }
            status = late.isEmpty() ? 0 : 1;
            record.note(late.isEmpty()
                    ? "held: the engine got no request later than drain_ms after the node had passed on Server-Leaving"
                    : "BROKEN (DRAIN): requests that reached the engine later than drain_ms after the node had passed on"
                            + " Server-Leaving, by node: " + late);
            nodes.copyLogs("upstream.", "site.listed", "site.historyLost", "store.lost", "store.regained");
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
