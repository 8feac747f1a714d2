package review;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** ONE: a usage window is reported again with other counts after the store has come back from a copy. */
final class UsageCase {
    private UsageCase() {}

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
            for (String zone : zones) {
                new Engine(record, store, "i-" + zone, "app", zone, "v1", 6, 20).start();
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
                clients.start(node, "/read/1", "GET", 300, 1_500, "");
            }
            // Two windows are reported in the ordinary way.
            while (cloud.reports().size() < 3 && record.millis() < 60_000) {
                Http.sleep(20);
            }
            Cloud.Report last = cloud.reports().get(cloud.reports().size() - 1);
            Http.sleep(1_500);
            if (trouble) {
                long left = System.nanoTime();
                store.leave();
                Http.sleep(1_000);
                store.comeBack(left, 3_000, true);
                // What the operator wrote is written again; the engines write their entries themselves.
                store.put("op/config", Config.of(7, "app"));
            }
            // The next holder, which takes over about 4 s after the SIGTERM, still reports the last four windows.
            Http.sleep(last.atMillis() + 11_000 - record.millis());
            // Planned work in both cases: the holder of the duty is stopped.
            Nodes.Node holder = nodes.byName(last.holder());
            record.note("SIGTERM to " + holder.name + ", the holder of the usage duty");
            holder.signal("TERM");
            Http.sleep(12_000);
            clients.stop();
            Map<Long, List<Cloud.Report>> conflicting = cloud.conflicting();
            conflicting.forEach((window, reports) -> record.note(
                    "BROKEN (ONE): the platform accepted reports with different counts for window " + window + ": " + reports));
            if (conflicting.isEmpty()) {
                record.note("held: no window was accepted with different counts");
            }
            status = conflicting.isEmpty() ? 0 : 1;
            nodes.copyLogs("duty.held", "usage.", "site.listed", "site.historyLost", "store.lost", "store.regained");
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
