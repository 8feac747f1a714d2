package org.cactusshift.systemtest;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.cactusshift.standin.link.TcpRelay;
import org.cactusshift.standin.site.ScriptedUpstream;
import org.cactusshift.standin.site.SiteStore;

/**
 * The upstreams of a soak test: two of a plain service and two model engines of each of two versions. They refuse
 * refuse some requests and delay, drop
 * or truncate some responses. Nodes reach each upstream through a relay.
 */
final class SoakUpstreams implements AutoCloseable {
    static final int EVENTS_PER_STREAM = 6;
    private static final int UPSTREAMS_PER_SERVICE = 2;

    /** The number of upstreams, the first ones, that faults are injected at; those of the second version have none. */
    static final int FAULT_TARGETS = 2 * UPSTREAMS_PER_SERVICE;

    /** Requests that are refused as not run. */
    private static final int REFUSED_PERCENT = 6;

    /** Non-streamed responses that are dropped after the request has run. */
    private static final int LOST_PERCENT = 3;

    /** Responses that begin after {@link #SLOW_RESPONSE_DELAY_MILLIS}. */
    private static final int SLOW_PERCENT = 5;

    /** Events of streams that are truncated, with a reset of the connection. */
    private static final int TRUNCATED_EVENT_PERCENT = 5;

    private static final long SLOW_RESPONSE_DELAY_MILLIS = 400;

    /** Delay of other responses, and pause after each event of a stream. */
    private static final long RESPONSE_DELAY_MILLIS = 15;

    private final SiteStore store;
    private final SoakInvariants invariants;

    /** Whether requests may come from another node than the one that the caller chose. */
    private final BooleanSupplier arePassedOn;

    private final Random random;
    private final List<ScriptedUpstream> upstreams = new ArrayList<>();
    private final List<TcpRelay> relays = new ArrayList<>();
    private final List<Upstream> selves = new ArrayList<>();
    /** For each upstream: the store key, a space, and the store entry with %s for the state. */
    private final List<String> entries = new ArrayList<>();

    private SoakUpstreams(SiteStore store, SoakInvariants invariants, BooleanSupplier arePassedOn, long seed) {
        this.store = store;
        this.invariants = invariants;
        this.arePassedOn = arePassedOn;
        this.random = new Random(seed);
    }

    static SoakUpstreams start(SiteStore store, SoakInvariants invariants, BooleanSupplier arePassedOn, long seed)
            throws IOException {
        SoakUpstreams all = new SoakUpstreams(store, invariants, arePassedOn, seed);
        for (int i = 0; i < UPSTREAMS_PER_SERVICE; i++) {
            all.add("app-" + i, "app", "v1", all::respondNonStreamed);
            all.add("lm-" + i, "lm", "v1", all::respondStream);
        }
        for (int i = UPSTREAMS_PER_SERVICE; i < 2 * UPSTREAMS_PER_SERVICE; i++) {
            all.add("lm-" + i, "lm", "v2", all::respondStream);
        }
        return all;
    }

    /** Writes a response in the manner of one upstream. */
    private interface Script {
        void respond(Upstream upstream, ScriptedUpstream.Request request, ScriptedUpstream.Connection connection)
                throws IOException;
    }

    /** What an upstream states about itself. */
    private static final class Upstream {
        final String softwareVersion;
        final SoakLimitJudge limitJudge = new SoakLimitJudge();

        final SoakRestJudge restJudge = new SoakRestJudge();

        /** The time of rest that it asks for; 0 while it serves. */
        volatile int restSeconds;

        /** The header with the limit, empty text when it has none. */
        volatile String limitHeader = "";

        Upstream(String softwareVersion) {
            this.softwareVersion = softwareVersion;
        }
    }

    private void add(String id, String service, String softwareVersion, Script script) throws IOException {
        Upstream self = new Upstream(softwareVersion);
        selves.add(self);
        ScriptedUpstream upstream = ScriptedUpstream.start((request, connection) -> {
            String expected = request.header("Expect-Instance");
            if (!expected.equals(id)) {
                connection.write("HTTP/1.1 421 X\r\nRequest-Id: " + request.header("Request-Id")
                        + "\r\nContent-Length: 0\r\n\r\n");
            } else {
                self.limitJudge.onArrival(
                        invariants.isFromNodeInTouch(request.header("Request-Id")), SoakLimitJudge.nowMillis());
                turnAwayOrRespond(self, script, request, connection);
            }
        });
        TcpRelay relay = TcpRelay.start(upstream.address());
        upstreams.add(upstream);
        relays.add(relay);
        String entry = "{\"service\":\"" + service + "\",\"address\":\"" + relay.address()
                + "\",\"zone\":\"a\",\"slots\":16,\"state\":\"%s\",\"version\":\"" + softwareVersion + "\",\"seq\":1}";
        entries.add("servers/" + id + " " + entry);
        store.put("servers/" + id, entry.formatted("ready"));
    }

    private void turnAwayOrRespond(
            Upstream self, Script script, ScriptedUpstream.Request request, ScriptedUpstream.Connection connection)
            throws IOException {
        String id = request.header("Request-Id");
        String node = invariants.nodeOf(id);
        boolean counts = invariants.isFromNodeInTouch(id) && !arePassedOn.getAsBoolean();
        self.restJudge.onArrival(node, counts, SoakLimitJudge.nowMillis());
        int seconds = self.restSeconds;
        if (seconds == 0) {
            script.respond(self, request, connection);
            return;
        }
        self.restJudge.onAsked(node, seconds * 1_000L, SoakLimitJudge.nowMillis());
        connection.write(notRunHead(request) + "Retry-After: " + seconds + "\r\n\r\n");
    }

    private static String notRunHead(ScriptedUpstream.Request request) {
        return "HTTP/1.1 503 X\r\nRequest-Id: " + request.header("Request-Id")
                + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n";
    }

    /** Makes an upstream turn all requests away and ask for rest, or serve again after 0 seconds. */
    void askForRest(int index, int seconds) {
        selves.get(index).restSeconds = seconds;
    }

    /** Returns the violations of rests at all upstreams. */
    List<String> restViolations() {
        return selves.stream()
                .flatMap(self -> self.restJudge.violations().stream())
                .toList();
    }

    /** Returns how often upstreams asked for rest. */
    int rests() {
        return selves.stream().mapToInt(self -> self.restJudge.rests()).sum();
    }

    /** Makes an upstream state a limit on requests per second from now on. */
    void stateLimit(int index, double limitPerSecond) {
        selves.get(index).limitHeader = "Server-Limit: " + limitPerSecond + "\r\n";
        selves.get(index).limitJudge.onStated(limitPerSecond, SoakLimitJudge.nowMillis());
    }

    /** Makes an upstream state no limit any more. */
    void endLimit(int index) {
        selves.get(index).limitHeader = "";
        selves.get(index).limitJudge.onEnded();
    }

    /** Returns the violations of limits at all upstreams. */
    List<String> limitViolations() {
        return selves.stream()
                .flatMap(self -> self.limitJudge.violations().stream())
                .toList();
    }

    List<TcpRelay> relays() {
        return relays;
    }

    /**
     * Removes or restores the store entry of an upstream, as when its registration lapses during isolation from the
     * store.
     */
    void setListed(int index, boolean listed) {
        int space = entries.get(index).indexOf(' ');
        String key = entries.get(index).substring(0, space);
        if (listed) {
            store.put(key, entries.get(index).substring(space + 1).formatted("ready"));
        } else {
            store.remove(key);
        }
    }

    private synchronized boolean withProbability(int percent) {
        return random.nextInt(100) < percent;
    }

    private static void pause(long millis) throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while delaying a response", e);
        }
    }

    /** Records that the request runs, then waits for the delay of its response. */
    private void recordRunAndDelay(ScriptedUpstream.Request request) throws IOException {
        invariants.onRun(
                request.header("Request-Id"), request.target(), request.target().startsWith("/once/"));
        pause(withProbability(SLOW_PERCENT) ? SLOW_RESPONSE_DELAY_MILLIS : RESPONSE_DELAY_MILLIS);
    }

    private void respondNonStreamed(
            Upstream self, ScriptedUpstream.Request request, ScriptedUpstream.Connection connection)
            throws IOException {
        if (withProbability(REFUSED_PERCENT)) {
            connection.write(notRunHead(request) + self.limitHeader + "\r\n");
            return;
        }
        recordRunAndDelay(request);
        if (withProbability(LOST_PERCENT)) {
            connection.reset();
            return;
        }
        String id = request.header("Request-Id");
        String body = "done " + id + " " + new String(request.body(), StandardCharsets.ISO_8859_1);
        connection.write("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: s\r\n" + self.limitHeader
                + "Content-Length: "
                + body.length() + "\r\n\r\n" + body);
    }

    private void respondStream(Upstream self, ScriptedUpstream.Request request, ScriptedUpstream.Connection connection)
            throws IOException {
        if (withProbability(REFUSED_PERCENT)) {
            connection.write(notRunHead(request) + self.limitHeader + "\r\n");
            return;
        }
        recordRunAndDelay(request);
        String id = request.header("Request-Id");
        connection.write("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: s\r\n" + self.limitHeader
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        String last = request.header("Last-Event-Id");
        for (int event = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; event <= EVENTS_PER_STREAM; event++) {
            String text = "id: " + event + "\ndata: " + id + "-" + event + "-" + self.softwareVersion + "\n\n";
            if (withProbability(TRUNCATED_EVENT_PERCENT)) {
                connection.write(Integer.toHexString(text.length()) + "\r\n" + text.substring(0, text.length() / 2));
                connection.reset();
                return;
            }
            connection.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
            pause(RESPONSE_DELAY_MILLIS);
        }
        connection.write("0\r\n\r\n");
    }

    @Override
    public void close() throws IOException {
        for (TcpRelay relay : relays) {
            relay.close();
        }
        for (ScriptedUpstream upstream : upstreams) {
            upstream.close();
        }
    }
}
