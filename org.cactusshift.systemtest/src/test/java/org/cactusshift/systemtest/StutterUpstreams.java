package org.cactusshift.systemtest;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cactusshift.standin.site.ScriptedUpstream;
import org.cactusshift.standin.site.SiteStore;

/** Three upstreams of a plain service and three of a service of streams that write second responses. */
final class StutterUpstreams implements AutoCloseable {
    static final int UPSTREAMS_PER_SERVICE = 3;
    private static final int REFUSED_PERCENT = 5;
    private static final int FAILED_PERCENT = 10;
    private static final int SECOND_RESPONSE_PERCENT = 33;
    private static final int NOT_RUN = 503;
    private static final int FAILED = 500;
    private static final int OK = 200;
    private static final int MAXIMUM_DELAY_MILLIS = 2_000;
    private static final int SHORT_DELAY_MILLIS = 30;
    private static final int IDLE_CHECKS = 200;
    private static final int SLOW_BYTES = 100;
    private static final long EVENT_INTERVAL_MILLIS = 6;
    private static final String INTERIM = "HTTP/1.1 103 X\r\nLink: <x>\r\n\r\n";

    private final SiteStore store;
    private final StutterJudge judge;
    private final Random random;
    private final List<ScriptedUpstream> upstreams = new ArrayList<>();
    private final Map<ScriptedUpstream.Connection, Line> lines = new ConcurrentHashMap<>();
    private final Map<String, Line> lineByRequest = new ConcurrentHashMap<>();
    private final Map<String, Integer> secondResponses = new TreeMap<>();
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(16, action -> {
        Thread thread = new Thread(action, "stutter");
        thread.setDaemon(true);
        return thread;
    });
    private volatile StutterMode mode = StutterMode.SAME_WRITE;
    private volatile int stutteringPerService;

    private StutterUpstreams(SiteStore store, StutterJudge judge, long seed) {
        this.store = store;
        this.judge = judge;
        this.random = new Random(seed);
    }

    /** What a second response says about the request that it belongs to. */
    private enum Naming {
        RIGHT,
        WRONG,
        NONE,
        TWO
    }

    /** An own response of an upstream. */
    private record Own(int status, String id, String signature, String body, boolean stream) {}

    /** Writes a second response where the next one is expected. */
    private interface Insertion {
        void write() throws IOException;
    }

    /** One upstream. */
    private static final class Self {
        private final String name;
        private final int index;
        private final Map<Integer, Own> earlierByStatus = new ConcurrentHashMap<>();

        Self(String name, int index) {
            this.name = name;
            this.index = index;
        }
    }

    /** One connection; its lock is held while a response is written. */
    private static final class Line {
        private final ScriptedUpstream.Connection connection;
        private final List<String> history = Collections.synchronizedList(new ArrayList<>());
        private volatile String currentId = "none";
        private volatile boolean busy;
        private volatile boolean answeredEarly;
        private volatile Insertion beforeNext;

        Line(ScriptedUpstream.Connection connection) {
            this.connection = connection;
        }

        synchronized void write(String text) throws IOException {
            connection.write(text);
        }
    }

    static StutterUpstreams start(SiteStore store, StutterJudge judge, long seed) throws IOException {
        StutterUpstreams all = new StutterUpstreams(store, judge, seed);
        for (int i = 0; i < UPSTREAMS_PER_SERVICE; i++) {
            all.add("app", i);
            all.add("lm", i);
        }
        return all;
    }

    /** Makes the first upstreams of each service write second responses from now on. */
    void play(StutterMode newMode, int stuttering) {
        mode = newMode;
        stutteringPerService = stuttering;
    }

    private void add(String service, int index) throws IOException {
        // Nodes of other tests on the machine may still call a port that they used before; they must get 421.
        Self self = new Self(service + "-" + ProcessHandle.current().pid() + "-" + index, index);
        ScriptedUpstream upstream = ScriptedUpstream.start(
                (request, connection) -> onHead(self, request, line(connection)),
                (request, connection) -> respond(self, request, line(connection)));
        upstreams.add(upstream);
        store.put(
                "servers/" + self.name,
                "{\"service\":\"" + service + "\",\"address\":\"" + upstream.address()
                        + "\",\"zone\":\"a\",\"slots\":16,\"state\":\"ready\",\"version\":\"v1\",\"seq\":1}");
    }

    private Line line(ScriptedUpstream.Connection connection) {
        return lines.computeIfAbsent(connection, Line::new);
    }

    private synchronized int draw(int bound) {
        return random.nextInt(bound);
    }

    private boolean isStuttering(Self self) {
        return self.index < stutteringPerService && draw(100) < SECOND_RESPONSE_PERCENT;
    }

    private static void pause(long millis) throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while delaying a response", e);
        }
    }

    private void onHead(Self self, ScriptedUpstream.Request request, Line line) throws IOException {
        line.busy = true;
        line.currentId = request.header("Request-Id");
        line.answeredEarly = false;
        lineByRequest.put(line.currentId, line);
        line.history.add("request " + line.currentId + " at " + self.name);
        if (mode == StutterMode.EARLY && request.header("Expect-Instance").equals(self.name) && isStuttering(self)) {
            Own own = decide(self, request);
            line.write(text(own, own.id()));
            line.answeredEarly = true;
            pause(draw(SHORT_DELAY_MILLIS));
        }
    }

    private void respond(Self self, ScriptedUpstream.Request request, Line line) throws IOException {
        try {
            if (!request.header("Expect-Instance").equals(self.name)) {
                line.write("HTTP/1.1 421 X\r\nRequest-Id: " + request.header("Request-Id")
                        + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            judge.onBody(request.header("Request-Id"), new String(request.body(), StandardCharsets.ISO_8859_1));
            StutterMode played = mode;
            if (line.answeredEarly) {
                line.write(second(self, line, played, null));
                return;
            }
            Insertion inserted = line.beforeNext;
            line.beforeNext = null;
            boolean isBeforeWork = draw(2) == 0;
            if (inserted != null && isBeforeWork) {
                inserted.write();
            }
            Own own = decide(self, request);
            if (inserted != null && !isBeforeWork) {
                inserted.write();
            }
            boolean stutters = isStuttering(self);
            writeOwn(self, own, line, played, stutters);
            if (stutters) {
                stutter(self, own, line, played);
            }
        } finally {
            line.busy = false;
        }
    }

    /** Runs a request or refuses it; returns the response to it. */
    private Own decide(Self self, ScriptedUpstream.Request request) throws IOException {
        String id = request.header("Request-Id");
        boolean stream = request.target().equals(StutterJudge.STREAM);
        Own own;
        if (draw(100) < REFUSED_PERCENT) {
            own = new Own(NOT_RUN, id, "", "", stream);
        } else {
            judge.onRun(id, request.target());
            pause(5 + draw(20));
            int status = draw(100) < FAILED_PERCENT && !stream ? FAILED : OK;
            String signature = "s-" + id + "-" + self.name + "-" + draw(1_000_000);
            String body = "done " + id + " " + status + " " + self.name;
            if (stream) {
                String last = request.header("Last-Event-Id");
                StringBuilder events = new StringBuilder();
                for (int i = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
                        i <= StutterJudge.EVENTS_PER_STREAM;
                        i++) {
                    events.append(StutterJudge.event(id, i));
                }
                body = events.toString();
            }
            own = new Own(status, id, signature, body, stream);
            judge.onAnswer(id, new StutterJudge.Answer(status, signature, body));
        }
        self.earlierByStatus.put(own.status(), own);
        return own;
    }

    private static String head(Own own, List<String> ids, boolean idsFirst) {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + own.status() + " X\r\n");
        StringBuilder naming = new StringBuilder();
        ids.forEach(id -> naming.append("Request-Id: ").append(id).append("\r\n"));
        head.append(idsFirst ? naming : "");
        head.append(own.status() == NOT_RUN ? "Not-Executed: 1\r\n" : "");
        head.append(own.signature().isEmpty() ? "" : "Response-Signature: " + own.signature() + "\r\n");
        head.append(idsFirst ? "" : naming);
        return head.toString();
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static String text(Own own, String... ids) {
        return text(own, List.of(ids), true);
    }

    private static String text(Own own, List<String> ids, boolean idsFirst) {
        String head = head(own, ids, idsFirst);
        if (own.stream() && own.status() == OK) {
            return head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + (own.body().isEmpty() ? "" : chunk(own.body())) + "0\r\n\r\n";
        }
        return head + "Content-Length: " + own.body().length() + "\r\n\r\n" + own.body();
    }

    /** Draws a second response: the given one once more, or an earlier one of the upstream. */
    private String second(Self self, Line line, StutterMode played, Own same) {
        List<Own> candidates = new ArrayList<>(self.earlierByStatus.values());
        Own own = same != null && draw(3) == 0 ? same : candidates.get(draw(candidates.size()));
        Naming naming = Naming.values()[draw(Naming.values().length)];
        List<String> ids =
                switch (naming) {
                    case RIGHT -> List.of(own.id());
                    case WRONG -> List.of("x" + draw(1_000_000));
                    case NONE -> List.of();
                    case TWO -> List.of(line.currentId, "x" + draw(1_000_000));
                };
        line.history.add(played + " " + naming + " " + own.status() + " of " + own.id() + ", current "
                + (line.busy ? "" : "ended ") + line.currentId);
        synchronized (secondResponses) {
            secondResponses.merge(played + " " + naming, 1, Integer::sum);
        }
        return text(own, ids, draw(2) == 0);
    }

    private void writeOwn(Self self, Own own, Line line, StutterMode played, boolean stutters) throws IOException {
        boolean isBetween = stutters && played == StutterMode.BETWEEN_CHUNKS;
        if (own.status() == OK && (own.stream() || isBetween)) {
            writeChunks(self, own, line, played, isBetween);
            return;
        }
        String text = text(own, own.id());
        if (stutters && played == StutterMode.SAME_WRITE) {
            text += second(self, line, played, own);
        }
        line.write(text);
    }

    private void writeChunks(Self self, Own own, Line line, StutterMode played, boolean isBetween) throws IOException {
        // Each part of a stream is one event; other bodies have two parts.
        List<String> parts = own.stream()
                ? List.of(own.body().split("(?<=\n\n)"))
                : List.of(own.body().substring(0, 4), own.body().substring(4));
        int insertAfter = draw(parts.size());
        synchronized (line) {
            line.write(head(own, List.of(own.id()), true)
                    + (own.stream() ? "Content-Type: text/event-stream\r\n" : "")
                    + "Transfer-Encoding: chunked\r\n\r\n");
            for (int i = 0; i < parts.size(); i++) {
                line.write(parts.get(i).isEmpty() ? "" : chunk(parts.get(i)));
                pause(EVENT_INTERVAL_MILLIS);
                if (isBetween && i == insertAfter) {
                    line.write(second(self, line, played, own));
                }
            }
            line.write("0\r\n\r\n");
        }
    }

    private void stutter(Self self, Own own, Line line, StutterMode played) {
        boolean isBeforeNext = draw(2) == 0;
        Insertion plain = () -> line.write(second(self, line, played, own));
        switch (played) {
            case SAME_WRITE, EARLY, BETWEEN_CHUNKS -> {
                if (own.stream() && played == StutterMode.SAME_WRITE) {
                    schedule(0, plain);
                }
            }
            case LATE -> schedule(1 + draw(MAXIMUM_DELAY_MILLIS), plain);
            case IDLE -> schedule(draw(SHORT_DELAY_MILLIS), whenIdle(line, plain));
            case BEFORE_NEXT -> line.beforeNext = plain;
            case CUT -> place(line, isBeforeNext, () -> writeCut(self, own, line));
            case SLOW -> place(line, isBeforeNext, () -> writeSlowly(self, own, line));
            case INTERIM ->
                place(line, isBeforeNext, () -> line.write(INTERIM + second(self, line, played, own) + INTERIM));
            default -> throw new IllegalArgumentException(played.toString());
        }
    }

    private void place(Line line, boolean isBeforeNext, Insertion insertion) {
        if (isBeforeNext) {
            line.beforeNext = insertion;
        } else {
            schedule(draw(SHORT_DELAY_MILLIS), whenIdle(line, insertion));
        }
    }

    private static Insertion whenIdle(Line line, Insertion insertion) {
        return () -> {
            for (int i = 0; i < IDLE_CHECKS && line.busy; i++) {
                pause(1);
            }
            if (!line.busy) {
                insertion.write();
            }
        };
    }

    private void schedule(long delayMillis, Insertion insertion) {
        timer.schedule(
                () -> {
                    try {
                        insertion.write();
                    } catch (IOException e) {
                        // The node has closed the connection, as it should after a response that it can't match.
                        Thread.onSpinWait();
                    }
                },
                delayMillis,
                TimeUnit.MILLISECONDS);
    }

    private void writeCut(Self self, Own own, Line line) throws IOException {
        String text = second(self, line, StutterMode.CUT, own);
        int cut = 1 + draw(text.indexOf("\r\n\r\n") + 2);
        boolean closes = draw(2) == 0;
        line.history.add("cut at " + cut + (closes ? " and closed" : "") + ": "
                + text.substring(0, cut).replace("\r\n", "|"));
        line.write(text.substring(0, cut));
        if (closes) {
            line.connection.close();
        }
    }

    private void writeSlowly(Self self, Own own, Line line) throws IOException {
        String text = second(self, line, StutterMode.SLOW, own);
        synchronized (line) {
            int slow = Math.min(SLOW_BYTES, text.length());
            for (int i = 0; i < slow; i++) {
                line.write(text.substring(i, i + 1));
                pause(1 + draw(3));
            }
            line.write(text.substring(slow));
        }
    }

    /** Returns what an upstream read and wrote on the connection of a request, from two requests before it on. */
    List<String> historyOf(String id) {
        Line line = lineByRequest.get(id);
        if (line == null) {
            return List.of();
        }
        List<String> history = List.copyOf(line.history);
        int at = 0;
        while (at < history.size() && !history.get(at).startsWith("request " + id + " ")) {
            at++;
        }
        return history.subList(Math.max(0, at - 5), Math.min(history.size(), at + 4));
    }

    /** Returns the number of second responses by mode and naming. */
    Map<String, Integer> secondResponses() {
        synchronized (secondResponses) {
            return new TreeMap<>(secondResponses);
        }
    }

    @Override
    public void close() throws IOException {
        timer.shutdownNow();
        for (ScriptedUpstream upstream : upstreams) {
            upstream.close();
        }
    }
}
