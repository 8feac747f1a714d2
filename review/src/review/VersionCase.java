package review;

import java.nio.file.Path;
import java.util.List;

/** ORDER: streams of one software version go on at another after the store has come back from a copy. */
final class VersionCase {
    private static final int KILLED = 6;

    private VersionCase() {}

    public static void main(String[] arguments) throws Exception {
        Path repository = Path.of(arguments[0]);
        // 0: no disruption; kill: only the kill of nodes; otherwise the drill and the kill.
        String trouble = String.valueOf(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(arguments[1]).resolve("record.txt"));
        int status = 2;
        Nodes nodes = null;
        try {
            Store store = new Store(record);
            Cloud cloud = new Cloud(record);
            store.put("op/config", Config.of(7, "app", "lm"));
            List<String> zones = List.of("ostend-a", "zeebrugge-b", "nieuwpoort-c", "bruges-d");
            for (int i = 0; i < 2; i++) {
                new StreamEngine(record, store, "old-" + (i + 1), "lm", zones.get(i), "v1", 128, 14, 150).start();
            }
            nodes = new Nodes(repository, record);
            for (int i = 0; i < 8; i++) {
                String zone = zones.get(i / 2);
                nodes.add("front-" + zone + "-" + (i % 2 + 1), zone, store.address(), cloud.address());
            }
            nodes.startAll();
            record.note("all nodes are ready");
            StreamClients clients = new StreamClients(record, nodes.all);
            clients.start(200);
            Http.sleep(6_000);
            // Planned work: engines of a new software version come beside the old ones.
            for (int i = 0; i < 2; i++) {
                new StreamEngine(record, store, "new-" + (i + 1), "lm", zones.get(i + 2), "v2", 128, 14, 150).start();
            }
            record.note("two engines of version v2 have come");
            Http.sleep(1_500);
            record.note("the nodes' record of versions: " + store.values("/cactusshift/streamVersions"));
            if (!trouble.equals("0") && !trouble.equals("kill")) {
                long left = System.nanoTime();
                store.leave();
                Http.sleep(1_000);
                store.comeBack(left, 3_000, true);
                store.put("op/config", Config.of(7, "app", "lm"));
            }
            Http.sleep(8_000);
            record.note("the nodes' record of versions: " + store.values("/cactusshift/streamVersions"));
            if (!trouble.equals("0")) {
                for (Nodes.Node node : nodes.all.subList(0, KILLED)) {
                    node.process.destroyForcibly();
                }
                record.note(KILLED + " of eight nodes are killed at once");
                Http.sleep(2_000);
                for (Nodes.Node node : nodes.all.subList(0, KILLED)) {
                    node.awaitExit();
                    nodes.start(node);
                }
            }
            Http.sleep(6_000);
            clients.stop();
            List<StreamClients.Stream> all = clients.snapshot();
            List<StreamClients.Stream> joined =
                    all.stream().filter(stream -> stream.versions().size() > 1).toList();
            record.note("streams " + all.size() + ", complete "
                    + all.stream().filter(StreamClients.Stream::complete).count() + ", taken up again "
                    + all.stream().filter(stream -> stream.tries() > 1).count());
            joined.forEach(stream -> record.line("joined: " + stream));
            status = joined.size() > 2 ? 1 : 0;
            record.note((joined.size() > 2 ? "BROKEN (ORDER): " : "held: ") + joined.size()
                    + " streams hold events from engines of two software versions");
            nodes.copyLogs("streamVersions.", "site.listed", "site.historyLost", "store.lost", "store.regained");
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
