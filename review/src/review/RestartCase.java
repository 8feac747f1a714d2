package review;

import java.nio.file.Path;
import java.util.List;

/** ORDER: streams go on at an engine that has started again under its id with another software version. */
final class RestartCase {
    private static final long DOWN_MILLIS = Long.getLong("down", 2_000);

    private RestartCase() {}

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
            StreamEngine[] engines = new StreamEngine[4];
            for (int i = 0; i < 4; i++) {
                // Three engines have the new version already.
                engines[i] = new StreamEngine(
                        record, store, "i-" + (i + 1), "lm", zones.get(i), i < 3 ? "v2" : "v1", 128, 14, 150);
                engines[i].start(Nodes.freePort());
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
            Http.sleep(12_000);
            if (trouble) {
                // The last engine of the old version crashes, and starts again under its id with the new version.
                int port = engines[3].port();
                engines[3].crash();
                Http.sleep(DOWN_MILLIS);
                engines[3] = new StreamEngine(record, store, "i-4", "lm", zones.get(3), "v2", 128, 14, 150);
                engines[3].start(port);
                record.note("engine i-4: started again with version v2, its entry is written");
            }
            Http.sleep(7_000);
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
            nodes.copyLogs("streamVersions.", "upstream.");
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
