package org.cactusshift.systemtest;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cactusshift.standin.StandInClient;
import org.cactusshift.standin.site.ScriptedUpstream;
import org.cactusshift.standin.site.SiteStore;

/** Node processes and stuttering upstreams, on which a schedule is played. */
final class StutterSite implements AutoCloseable {
    private static final long READY_TIMEOUT_MILLIS = 60_000;

    private final StutterJudge judge = new StutterJudge();
    private final SiteStore store = SiteStore.create();
    private final List<SoakNode> nodes = new ArrayList<>();
    private ScriptedUpstream usageEndpoint;
    private StutterUpstreams upstreams;
    private int version;

    private StutterSite() {}

    static StutterSite start(int nodes, long seed, Path directory) throws IOException, InterruptedException {
        StutterSite site = new StutterSite();
        site.store.start();
        site.usageEndpoint = ScriptedUpstream.start(
                (request, connection) -> connection.write("HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n"));
        site.upstreams = StutterUpstreams.start(site.store, site.judge, seed);
        site.publishNextConfig();
        for (int i = 0; i < nodes; i++) {
            site.nodes.add(SoakNode.start("node-" + i, directory, site.store, site.usageEndpoint.address()));
        }
        site.awaitAllReady();
        return site;
    }

    List<SoakNode> nodes() {
        return nodes;
    }

    StutterJudge judge() {
        return judge;
    }

    StutterUpstreams upstreams() {
        return upstreams;
    }

    private void awaitAllReady() throws IOException, InterruptedException {
        StandInClient client = StandInClient.create();
        for (SoakNode node : nodes) {
            if (!node.process().awaitOk(client, node.readinessAddress(), "/-/ready", READY_TIMEOUT_MILLIS)) {
                throw new IOException(node.readinessAddress() + " is not ready");
            }
        }
    }

    private synchronized void publishNextConfig() {
        version++;
        store.put(
                "op/config",
                "{\"version\":" + version + ",\"routes\":[" + route("once", "non_idempotent", "app", false) + ","
                        + route("again", "idempotent", "app", false) + "," + route("stream", "stream", "lm", true)
                        + "],\"services\":[{\"name\":\"app\"},{\"name\":\"lm\",\"engine\":{\"slots\":16,"
                        + "\"kv_capacity\":100000,\"kv_token_bytes\":18432}}],"
                        + "\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":1000000,"
                        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                        + "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"" + SoakSite.KEY + "\"]}]}");
    }

    private static String route(String name, String type, String service, boolean resumable) {
        return "{\"name\":\"" + name + "\",\"host\":\"h.example\",\"path_prefix\":\"/" + name
                + "/\",\"type\":\"" + type + "\",\"timeout_ms\":1500,\"target_latency_ms\":400,\"priority\":0,"
                + "\"service\":\"" + service + "\",\"max_attempts\":2,\"public\":false,\"can_resume\":"
                + resumable + ",\"gap_aim_ms\":300}";
    }

    /** Plays a schedule; with sound upstreams, only what happens to the nodes and the refusals are played. */
    void play(StutterSchedule schedule, long phaseMillis, int callers, long seed, boolean sound)
            throws IOException, InterruptedException, ExecutionException {
        ScheduledExecutorService timer =
                Executors.newScheduledThreadPool(schedule.disturbances().size());
        List<Future<?>> disturbances = new ArrayList<>();
        for (StutterSchedule.Disturbance each : schedule.disturbances()) {
            disturbances.add(timer.schedule(
                    () -> {
                        disturb(each);
                        return null;
                    },
                    each.startMillis(),
                    TimeUnit.MILLISECONDS));
        }
        StutterCallers group = StutterCallers.start(
                this, callers, seed, schedule.phases().get(0).mode());
        try (group) {
            for (StutterSchedule.Phase phase : schedule.phases()) {
                group.play(phase.mode());
                upstreams.play(phase.mode(), sound ? 0 : phase.stuttering());
                TimeUnit.MILLISECONDS.sleep(phaseMillis);
            }
            upstreams.play(schedule.phases().get(0).mode(), 0);
        }
        for (Future<?> disturbance : disturbances) {
            disturbance.get();
        }
        timer.shutdown();
        awaitAllReady();
    }

    private void disturb(StutterSchedule.Disturbance disturbance) throws IOException, InterruptedException {
        SoakNode node = nodes.get(disturbance.node());
        switch (disturbance.kind()) {
            case RESTART -> {
                node.terminate();
                node.restart();
            }
            case CONFIG_CHANGE -> publishNextConfig();
            case LINKS_HANG, LINKS_RESET -> {
                node.loseUpstreamLinks(disturbance.kind() == StutterSchedule.DisturbanceKind.LINKS_HANG);
                TimeUnit.MILLISECONDS.sleep(disturbance.durationMillis());
                node.restoreUpstreamLinks();
            }
            default -> throw new IllegalArgumentException(disturbance.toString());
        }
    }

    @Override
    public void close() throws IOException {
        for (SoakNode node : nodes) {
            node.close();
        }
        upstreams.close();
        usageEndpoint.close();
        store.close();
    }
}
