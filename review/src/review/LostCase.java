package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** LOST: streams that are taken up again after a kill of most nodes are refused while their version serves. */
final class LostCase {
    private static final int KILLED = 7;

    private LostCase() {}

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
            for (int i = 0; i < 4; i++) {
                // Two engines of each software version.
                new StreamEngine(record, store, "i-" + (i + 1), "lm", zones.get(i), i < 2 ? "v1" : "v2", 128, 14, 150)
                        .start();
            }
            nodes = new Nodes(repository, record);
            for (int i = 0; i < 8; i++) {
                String zone = zones.get(i / 2);
                nodes.add("front-" + zone + "-" + (i % 2 + 1), zone, store.address(), cloud.address());
            }
            nodes.startAll();
            record.note("all nodes are ready");
            StreamClients clients = new StreamClients(record, nodes.all);
            clients.start(160);
            Http.sleep(14_000);
            long killedMillis = record.millis();
            List<Nodes.Node> killed = nodes.all.subList(0, KILLED);
            if (trouble) {
                for (Nodes.Node node : killed) {
                    node.process.destroyForcibly();
                }
                record.note(KILLED + " of eight nodes are killed at once");
                Http.sleep(2_000);
                for (Nodes.Node node : killed) {
                    node.awaitExit();
                    nodes.start(node);
                }
            }
            Http.sleep(7_000);
            clients.stop();
            // Only the node that was not killed is in touch within the time budget of these streams.
            String inTouch = nodes.all.get(KILLED).name;
            Map<String, Boolean> wentOnByStream = new HashMap<>();
            List<StreamClients.Try> tries = new ArrayList<>(clients.allTries);
            int begun = 0;
            int first = 0;
            for (StreamClients.Try attempt : tries) {
                boolean counts = attempt.node().equals(inTouch)
                        && attempt.sentMillis() > killedMillis
                        && attempt.sentMillis() < killedMillis + 5_000;
                if (counts && attempt.takesUp()) {
                    wentOnByStream.merge(attempt.stream(), attempt.broughtEvent(), Boolean::logicalOr);
                } else if (counts) {
                    first++;
                    begun += attempt.broughtEvent() ? 1 : 0;
                }
            }
            // A stream also goes on if another node takes it up.
            for (StreamClients.Try attempt : tries) {
                if (attempt.takesUp() && attempt.broughtEvent() && attempt.sentMillis() > killedMillis) {
                    wentOnByStream.computeIfPresent(attempt.stream(), (stream, wentOn) -> true);
                }
            }
            long wentOn = wentOnByStream.values().stream().filter(on -> on).count();
            double shareOfNew = first == 0 ? 0 : begun / (double) first;
            double share = wentOnByStream.isEmpty() ? 1 : wentOn / (double) wentOnByStream.size();
            boolean broken = wentOnByStream.size() >= 12 && share < shareOfNew / 2;
            status = broken ? 1 : 0;
            record.note((broken ? "BROKEN (LOST): of " : "held: of ") + wentOnByStream.size()
                    + " streams that clients took up again at " + inTouch + ", " + wentOn + " went on; of " + first
                    + " new ones there " + begun + " began");
            nodes.copyLogs("streamVersions.");
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
