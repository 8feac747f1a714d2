package org.cactusshift.systemtest;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cactusshift.standin.site.RawHttpCaller;

/** Threads that send calls to the nodes over persistent connections and check status and content of each response. */
final class SoakCallers implements AutoCloseable {
    private static final long CALL_INTERVAL_MILLIS = 20;
    private static final long RECONNECT_DELAY_MILLIS = 100;
    /** Every ninth call requests the route of a random configuration version. */
    private static final int CALLS_PER_ROUTE_PROBE = 9;

    private final SoakSite site;
    private final List<Thread> threads = new ArrayList<>();
    private final AtomicInteger lastRequestNumber = new AtomicInteger();
    private volatile boolean stopped;

    private SoakCallers(SoakSite site) {
        this.site = site;
    }

    /** Starts callers, each of which sends all its requests to one node. */
    static SoakCallers start(SoakSite site, int callers, long seed) {
        SoakCallers group = new SoakCallers(site);
        for (int i = 0; i < callers; i++) {
            SoakNode node = site.nodes().get(i % site.nodes().size());
            Random random = new Random(seed + i);
            Thread thread = new Thread(() -> group.run(node, random), "soak-caller-" + i);
            thread.setDaemon(true);
            thread.start();
            group.threads.add(thread);
        }
        return group;
    }

    private void run(SoakNode node, Random random) {
        while (!stopped) {
            int colon = node.callerRelay().address().lastIndexOf(':');
            try (Socket socket = RawHttpCaller.connect(
                    Integer.parseInt(node.callerRelay().address().substring(colon + 1)))) {
                while (!stopped && call(node, socket, random)) {
                    TimeUnit.MILLISECONDS.sleep(CALL_INTERVAL_MILLIS);
                }
                TimeUnit.MILLISECONDS.sleep(RECONNECT_DELAY_MILLIS);
            } catch (IOException e) {
                // The node or the relay in front of it is down. The loop connects again at once, which may succeed.
                Thread.onSpinWait();
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Makes one call; returns whether the connection may be reused. */
    private boolean call(SoakNode node, Socket socket, Random random) throws IOException {
        int number = lastRequestNumber.incrementAndGet();
        // 0 for a call that is no route probe.
        int route = number % CALLS_PER_ROUTE_PROBE == 0 ? 1 + random.nextInt(site.version()) : 0;
        int incarnation = node.incarnation();
        String path = route > 0
                ? "/v" + route + "/x"
                : List.of("/once/x", "/again/x", "/stream/x").get(number % 3);
        String id = "r" + number;
        boolean nonRepeatable = path.startsWith("/once/");
        site.invariants().onSent(id, path, node);
        boolean linksLost = site.isAnyNodeWithoutLinks();
        long lostForMillis = node.linksLostForMillis();
        long sentAtNanos = System.nanoTime();
        long sentAtEpochMillis = System.currentTimeMillis();
        String ending = "end of the stream before a response";
        RawHttpCaller.Response response;
        try {
            socket.getOutputStream()
                    .write(RawHttpCaller.request(path, id, Map.of("Credential", SoakSite.KEY), "b" + number)
                            .getBytes(StandardCharsets.ISO_8859_1));
            response = RawHttpCaller.read(socket.getInputStream());
        } catch (IOException e) {
            ending = e.toString();
            response = new RawHttpCaller.Response(0, Map.of(), "", false);
        }
        if (response.status() == 0 && site.invariants().hasStartedToRun(id)) {
            int nodeIndex = site.nodes().indexOf(node);
            site.invariants()
                    .onCut(
                            new SoakLostRequest(id, nodeIndex, sentAtEpochMillis, System.currentTimeMillis(), ending),
                            node.hadRecentInterruption(sentAtNanos));
        }
        if (route > 0 && response.status() != 0 && response.status() != 503) {
            checkRouteVisibility(node, incarnation, route, response.status());
        } else {
            site.invariants().onResponse(id, response.status(), nonRepeatable);
        }
        if (linksLost && node.wasInTouch(sentAtNanos) && site.hasNodeForPassedRequests(sentAtNanos)) {
            site.recoverJudge().onEnded(lostForMillis, response.status() == 200);
        }
        if (path.startsWith("/stream/")) {
            checkStream(node, id, sentAtNanos, response);
        } else if (response.status() == 200) {
            checkContent(id, number, response);
        }
        return response.complete() && !"close".equals(response.headers().get("connection"));
    }

    private void checkRouteVisibility(SoakNode node, int incarnation, int route, int status) {
        if (!node.recordRouteVisibility(incarnation, route, status != 404)) {
            site.invariants()
                    .addViolation("CONFIG: a node no longer serves the route of configuration version " + route);
        }
    }

    private void checkContent(String id, int number, RawHttpCaller.Response response) {
        String expected = "done " + id + " b" + number;
        if (response.complete() && !response.body().equals(expected)) {
            site.invariants().addViolation("MIXED: " + id + " got " + response.body());
        }
    }

    /** Checks the events of a stream, and takes it up at another node if it was broken off. */
    private void checkStream(SoakNode node, String id, long sentAtNanos, RawHttpCaller.Response response) {
        SoakStreamJudge judge = site.streamJudge();
        SoakStreamJudge.Position position = judge.onEvents(id, response.body(), SoakStreamJudge.Position.START);
        if (node.wasInTouch(sentAtNanos)) {
            judge.onNew(position.lastEvent() > 0);
        }
        if (position.lastEvent() > 0 && position.lastEvent() < SoakUpstreams.EVENTS_PER_STREAM) {
            takeUp(otherNode(node), id, position);
        }
        boolean endsEarly = response.complete()
                && response.status() == 200
                && position.lastEvent() < SoakUpstreams.EVENTS_PER_STREAM;
        if (endsEarly) {
            site.invariants().addViolation("ORDER: " + id + " ended after " + position);
        }
    }

    private SoakNode otherNode(SoakNode node) {
        return site.nodes().get((site.nodes().indexOf(node) + 1) % site.nodes().size());
    }

    private void takeUp(SoakNode node, String resumedId, SoakStreamJudge.Position position) {
        String id = "t" + lastRequestNumber.incrementAndGet();
        String address = node.callerRelay().address();
        long sentAtNanos = System.nanoTime();
        site.invariants().onSent(id, "/stream/x", node);
        Map<String, String> headers = Map.of(
                "Credential",
                SoakSite.KEY,
                "Last-Event-Id",
                Integer.toString(position.lastEvent()),
                "Resumes",
                resumedId);
        RawHttpCaller.Response response = new RawHttpCaller.Response(0, Map.of(), "", false);
        try (Socket socket = RawHttpCaller.connect(Integer.parseInt(address.substring(address.lastIndexOf(':') + 1)))) {
            socket.getOutputStream()
                    .write(RawHttpCaller.request("/stream/x", id, headers, "b").getBytes(StandardCharsets.ISO_8859_1));
            response = RawHttpCaller.read(socket.getInputStream());
        } catch (IOException e) {
            // The node or the relay in front of it is down; it counts as not gone on if the node was in touch.
            Thread.onSpinWait();
        }
        SoakStreamJudge.Position now = site.streamJudge().onEvents(id, response.body(), position);
        if (node.wasInTouch(sentAtNanos)) {
            site.streamJudge().onTakenUp(now.lastEvent() > position.lastEvent());
        }
    }

    /** Stops the callers and waits up to 30 s for each. */
    @Override
    public void close() {
        stopped = true;
        for (Thread thread : threads) {
            try {
                thread.join(TimeUnit.SECONDS.toMillis(30));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }
}
