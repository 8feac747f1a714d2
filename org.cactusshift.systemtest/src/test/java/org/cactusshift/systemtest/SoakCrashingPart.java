package org.cactusshift.systemtest;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cactusshift.standin.link.TcpRelay;
import org.cactusshift.standin.site.RawHttpCaller;
import org.cactusshift.standin.site.ScriptedUpstream;

/**
 * Engines that crash when they begin to respond to a request with one prompt part, and callers at each node that send
 * such requests, no two alike, beside sound ones of the same account with the same first part. A crashed engine is back
 * after a while under another id.
 */
final class SoakCrashingPart implements AutoCloseable {
    static final String SERVICE = "crashing-lm";
    private static final String CRASHING_PART = "bad:200";
    private static final int ENGINES = 6;
    private static final long ENGINE_DOWN_MILLIS = 1_500;
    private static final long RESPONSE_MILLIS = 40;
    private static final long SOUND_INTERVAL_MILLIS = 60;
    private static final long CRASHING_INTERVAL_MILLIS = 300;

    private final SoakSite site;
    private final SoakCrashJudge judge = new SoakCrashJudge();
    private final ScheduledExecutorService restarts = Executors.newSingleThreadScheduledExecutor();
    private final List<Engine> engines = new ArrayList<>();
    private final List<Thread> callers = new ArrayList<>();
    private final AtomicInteger lastRequestNumber = new AtomicInteger();
    private volatile boolean stopped;

    private SoakCrashingPart(SoakSite site) {
        this.site = site;
    }

    /** Starts the engines and callers that send sound requests only. */
    static SoakCrashingPart start(SoakSite site) throws IOException {
        SoakCrashingPart all = new SoakCrashingPart(site);
        for (int i = 0; i < ENGINES; i++) {
            all.engines.add(all.new Engine("cl-" + i));
        }
        site.nodes().forEach(node -> all.startCaller(node, "good:200", SOUND_INTERVAL_MILLIS));
        return all;
    }

    /** Starts callers that send crash-inducing requests. */
    void startCrashing() {
        site.nodes().forEach(node -> startCaller(node, CRASHING_PART, CRASHING_INTERVAL_MILLIS));
    }

    SoakCrashJudge judge() {
        return judge;
    }

    private final class Engine {
        private final String name;
        private final ScriptedUpstream upstream;
        private final TcpRelay relay;
        private int incarnation;
        private boolean down;

        Engine(String name) throws IOException {
            this.name = name;
            this.upstream = ScriptedUpstream.start(this::respond);
            this.relay = TcpRelay.start(upstream.address());
            register();
        }

        private synchronized String id() {
            return name + "-" + incarnation;
        }

        private void register() {
            site.store()
                    .put(
                            "servers/" + id(),
                            "{\"service\":\"" + SERVICE + "\",\"address\":\"" + relay.address()
                                    + "\",\"zone\":\"a\",\"slots\":16,\"state\":\"ready\",\"seq\":1}");
        }

        private void respond(ScriptedUpstream.Request request, ScriptedUpstream.Connection connection)
                throws IOException {
            if (!request.header("Expect-Instance").equals(id())) {
                connection.write("HTTP/1.1 421 X\r\nRequest-Id: " + request.header("Request-Id")
                        + "\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            boolean isCrashing = request.header("Prefix-Hash").contains(CRASHING_PART);
            if (isCrashing) {
                judge.onReached(request.header("Request-Id"));
            }
            try {
                TimeUnit.MILLISECONDS.sleep(RESPONSE_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
            if (isCrashing) {
                crash();
                return;
            }
            connection.write("HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("Request-Id")
                    + "\r\nResponse-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + "15\r\nid: 1\ndata: piece-1\n\n\r\n0\r\n\r\n");
        }

        private void crash() throws IOException {
            String crashedId;
            synchronized (this) {
                if (down) {
                    return;
                }
                down = true;
                crashedId = id();
            }
            judge.onCrash();
            relay.cut();
            restarts.schedule(
                    () -> {
                        site.store().remove("servers/" + crashedId);
                        restart();
                        return null;
                    },
                    ENGINE_DOWN_MILLIS,
                    TimeUnit.MILLISECONDS);
        }

        private void restart() throws IOException {
            synchronized (this) {
                incarnation++;
                down = false;
            }
            relay.restore();
            register();
        }

        private void close() throws IOException {
            relay.close();
            upstream.close();
        }
    }

    private void startCaller(SoakNode node, String middlePart, long intervalMillis) {
        Thread thread = new Thread(() -> run(node, middlePart, intervalMillis), "soak-crashing-part");
        thread.setDaemon(true);
        thread.start();
        callers.add(thread);
    }

    private void run(SoakNode node, String middlePart, long intervalMillis) {
        String address = node.callerRelay().address();
        int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
        while (!stopped) {
            try {
                TimeUnit.MILLISECONDS.sleep(intervalMillis);
                call(node, port, middlePart);
            } catch (InterruptedException e) {
                return;
            } catch (IOException e) {
                // The node or the relay in front of it is down.
                Thread.onSpinWait();
            }
        }
    }

    private void call(SoakNode node, int port, String middlePart) throws IOException {
        int number = lastRequestNumber.incrementAndGet();
        String id = "c" + number;
        boolean isCrashing = middlePart.equals(CRASHING_PART);
        long sentAtNanos = System.nanoTime();
        boolean served = false;
        judge.onSent(id, sentAtNanos);
        try (Socket socket = RawHttpCaller.connect(port)) {
            Map<String, String> headers =
                    Map.of("Credential", SoakSite.KEY, "Prefix-Hash", "a0:92," + middlePart + ",f" + number + ":50");
            socket.getOutputStream()
                    .write(RawHttpCaller.request("/crashing/x", id, headers, "b" + number)
                            .getBytes(StandardCharsets.ISO_8859_1));
            RawHttpCaller.Response response = RawHttpCaller.read(socket.getInputStream());
            served = response.status() == 200 && response.complete();
        } finally {
            judge.onEnded(id, isCrashing, served, node.wasInTouch(sentAtNanos));
        }
    }

    @Override
    public void close() throws Exception {
        stopped = true;
        for (Thread caller : callers) {
            caller.join(TimeUnit.SECONDS.toMillis(30));
        }
        restarts.shutdown();
        restarts.awaitTermination(30, TimeUnit.SECONDS);
        for (Engine engine : engines) {
            engine.close();
        }
    }
}
