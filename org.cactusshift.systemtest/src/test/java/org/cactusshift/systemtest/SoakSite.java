package org.cactusshift.systemtest;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.cactusshift.standin.site.ScriptedUpstream;
import org.cactusshift.standin.site.SiteStore;

/** The site of a soak test: node processes, upstreams, the platform's store and its endpoint for usage reports. */
final class SoakSite implements AutoCloseable {
    static final String KEY = "key-1";
    private static final int CONFLICT = 409;
    /** Every seventh usage report is recorded but its response is lost. */
    private static final int LOST_RESPONSE_INTERVAL = 7;

    private final SoakInvariants invariants = new SoakInvariants();
    private final SoakStreamJudge streamJudge = new SoakStreamJudge();
    private final SoakRecoverJudge recoverJudge = new SoakRecoverJudge();
    private final SiteStore store = SiteStore.create();
    private final List<SoakNode> nodes = new ArrayList<>();
    private ScriptedUpstream usageEndpoint;
    private SoakUpstreams upstreams;
    private int version;
    private int reports;

    private SoakSite() {}

    static SoakSite start(int nodes, long seed, Path directory) throws IOException {
        SoakSite site = new SoakSite();
        site.store.start();
        site.usageEndpoint = ScriptedUpstream.start(site::receiveUsageReport);
        site.upstreams = SoakUpstreams.start(site.store, site.invariants, site::isAnyNodeWithoutLinks, seed);
        site.publishNextConfig();
        for (int i = 0; i < nodes; i++) {
            site.nodes.add(SoakNode.start("node-" + i, directory, site.store, site.usageEndpoint.address()));
        }
        return site;
    }

    SoakInvariants invariants() {
        return invariants;
    }

    SoakStreamJudge streamJudge() {
        return streamJudge;
    }

    SoakRecoverJudge recoverJudge() {
        return recoverJudge;
    }

    /** Returns whether some node has lost its links to all upstreams, so that its requests come from other nodes. */
    boolean isAnyNodeWithoutLinks() {
        return nodes.stream().anyMatch(node -> node.linksLostForMillis() > 0);
    }

    /** Returns whether some node could serve a request, sent at the given time, that a node without links passed on. */
    boolean hasNodeForPassedRequests(long sentAtNanos) {
        return nodes.stream().anyMatch(node -> node.takesPassedRequests(sentAtNanos));
    }

    SiteStore store() {
        return store;
    }

    SoakUpstreams upstreams() {
        return upstreams;
    }

    List<SoakNode> nodes() {
        return nodes;
    }

    /** Returns the version of the newest configuration, which is also the number of its newest route. */
    synchronized int version() {
        return version;
    }

    /** Publishes the next configuration, which has one more route, v{@code version}, than the previous one. */
    synchronized void publishNextConfig() {
        version++;
        StringBuilder routes = new StringBuilder();
        routes.append(route("once", "non_idempotent", "app", false)).append(',');
        routes.append(route("again", "idempotent", "app", false)).append(',');
        routes.append(route("stream", "stream", "lm", true)).append(',');
        routes.append(route("crashing", "stream", SoakCrashingPart.SERVICE, false));
        for (int i = 1; i <= version; i++) {
            routes.append(',').append(route("v" + i, "idempotent", "app", false));
        }
        store.put(
                "op/config",
                "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[{\"name\":\"app\"},"
                        + "{\"name\":\"lm\",\"engine\":{\"slots\":16,\"kv_capacity\":100000,"
                        + "\"kv_token_bytes\":18432}},"
                        + "{\"name\":\"" + SoakCrashingPart.SERVICE + "\",\"engine\":{\"slots\":16,"
                        + "\"kv_capacity\":100000,\"kv_token_bytes\":18432}}],"
                        + "\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":100000,"
                        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                        + "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"" + KEY + "\"]}]}");
    }

    private static String route(String name, String type, String service, boolean resumable) {
        return "{\"name\":\"" + name + "\",\"host\":\"h.example\",\"path_prefix\":\"/" + name
                + "/\",\"type\":\"" + type + "\",\"timeout_ms\":1500,\"target_latency_ms\":400,\"priority\":0,"
                + "\"service\":\"" + service + "\",\"max_attempts\":2,\"public\":false,\"can_resume\":"
                + resumable + ",\"gap_aim_ms\":300}";
    }

    /** Records a usage report; resets the connection instead of responding to every seventh one. */
    private void receiveUsageReport(ScriptedUpstream.Request request, ScriptedUpstream.Connection connection)
            throws IOException {
        String body = new String(request.body(), StandardCharsets.UTF_8);
        long window = Long.parseLong(body.replaceAll("(?s).*\"window\":(\\d+).*", "$1"));
        boolean accepted = invariants.onUsageReport(
                request.header("Lease-Holder"), Long.parseLong(request.header("Fencing-Token")), window, body);
        reports++;
        if (reports % LOST_RESPONSE_INTERVAL == 0) {
            connection.reset();
            return;
        }
        connection.write("HTTP/1.1 " + (accepted ? 200 : CONFLICT) + " X\r\nContent-Length: 0\r\n\r\n");
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
