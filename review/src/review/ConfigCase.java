package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** CONFIG: machines keep an old config for good after the store has come back from a copy. */
final class ConfigCase {
    private static final long CONTACT_MILLIS = 3_000;
    private static final long APPLY_MILLIS = 2_000;
    private static final long SKEW_MILLIS = 5_000;

    private ConfigCase() {}

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
            List<Engine> engines = new ArrayList<>();
            for (String zone : zones) {
                engines.add(new Engine(record, store, "i-" + zone, "app", zone, "v1", 6, 20).start());
                // Engines of the other service, which get no requests here.
                for (int i = 1; i <= 2; i++) {
                    Http.sleep(90);
                    new Engine(record, store, "lm-" + zone + "-" + i, "lm", zone, "v1", 64, 20).start();
                }
            }
            nodes = new Nodes(repository, record);
            for (int i = 0; i < 8; i++) {
                String zone = zones.get(i / 2);
                nodes.add("front-" + zone + "-" + (i % 2 + 1), zone, store.address(), cloud.address());
            }
            nodes.startAll();
            record.note("all nodes are ready");
            Clients clients = new Clients(record);
            for (Nodes.Node node : nodes.all) {
                clients.start(node, "/pay/1", "POST", 250, 1_500, "");
                clients.start(node, "/read/1", "GET", 250, 1_500, "");
            }
            Http.sleep(8_000);
            if (trouble) {
                long left = System.nanoTime();
                store.fallSilent();
                Http.sleep(Long.getLong("away", 1_500));
                store.comeBack(left, Long.getLong("copy", 1_500), true);
                store.put("op/config", Config.of(7, "app", "lm"));
                // The operator's next write has waited for the store; the engines' first writes reach it too.
                Http.sleep(20);
            }
            // Planned in both cases: the operator drops a route.
            store.put("op/config", Config.of(8, "app", "lm").replace("\"/read/\"", "\"/new/\""));
            long confirmedMillis = record.millis();
            record.note("config 8, without the route /read/, is confirmed at revision " + store.revision());
            Http.sleep(25_000);
            clients.stop();
            // The store is stable and all machines are in touch again after contact_ms; the bound may be stretched by
            // max_skew_ms.
            long judgedFromMillis = confirmedMillis + CONTACT_MILLIS + APPLY_MILLIS + SKEW_MILLIS;
            Map<String, Integer> stale = new TreeMap<>();
            Map<String, Clients.Call> callById = new TreeMap<>();
            for (Clients.Call call : clients.snapshot()) {
                callById.put(call.id(), call);
            }
            for (Engine engine : engines) {
                for (Engine.Arrival arrival : engine.arrivals) {
                    Clients.Call call = callById.get(arrival.id());
                    if (call != null && call.path().equals("/read/1") && call.sentMillis() > judgedFromMillis) {
                        stale.merge(call.node(), 1, Integer::sum);
                    }
                }
            }
            status = stale.isEmpty() ? 0 : 1;
            record.note(
                    stale.isEmpty()
                            ? "held: no request on the dropped route, sent later than " + judgedFromMillis + " ms, was run"
                            : "BROKEN (CONFIG): requests on the dropped route, sent later than " + judgedFromMillis
                                    + " ms, that were run, by node: " + stale);
            nodes.copyLogs("config.inForce", "site.listed", "site.historyLost", "store.lost", "store.regained");
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
