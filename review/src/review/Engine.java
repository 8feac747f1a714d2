package review;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;

/** An engine as PROTOCOL.md describes it: registers itself in the store, runs requests, and can leave. */
class Engine {
    static final long HEARTBEAT_MILLIS = 1_200;

    /** A request that reached an engine. */
    record Arrival(String id, String engine, long atMillis, boolean ran) {}

    final String id;
    final String service;
    final String zone;
    final String version;
    final int slots;
    final long workMillis;
    protected final Record record;
    protected final Store store;
    protected Http.Server server;
    private final long born = System.currentTimeMillis();
    private final AtomicInteger running = new AtomicInteger();
    final List<Arrival> arrivals = new ArrayList<>();
    private int seq;
    private volatile boolean registered;
    /** Whether the engine leaves: each of its answers says so. */
    private volatile boolean leaving;

    Engine(Record record, Store store, String id, String service, String zone, String version, int slots, long workMillis)
            throws IOException {
        this.record = record;
        this.store = store;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.version = version;
        this.slots = slots;
        this.workMillis = workMillis;
    }

    /** Listens, registers, and writes its entry again at each heartbeat. */
    Engine start() throws IOException {
        return start(0);
    }

    Engine start(int port) throws IOException {
        server = new Http.Server(port, this::handle);
        registered = true;
        Http.daemon(() -> {
            long nextNanos = System.nanoTime();
            while (registered) {
                // A write that the store didn't take, as it was away, is made when it is back.
                boolean written = writeEntry();
                while (nextNanos <= System.nanoTime()) {
                    nextNanos += HEARTBEAT_MILLIS * 1_000_000;
                }
                Http.sleep(written ? (nextNanos - System.nanoTime()) / 1_000_000 + 1 : 50);
            }
        });
        return this;
    }

    private synchronized boolean writeEntry() {
        if (!registered) {
            return true;
        }
        seq++;
        return store.put(
                "servers/" + id,
                String.format(
                        Locale.ROOT,
                        "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"%s\",\"slots\":%d,"
                                + "\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":%d,\"seq\":%d}",
                        service, server.address(), zone, version, slots, born, seq));
    }

    /** Leaves without ever reporting it: its answers say so, its entry is removed, and it goes on serving. */
    void leave() {
        leaving = true;
        record.note("engine " + id + ": leaves, its answers say so");
        Http.sleep(500);
        synchronized (this) {
            registered = false;
            store.remove("servers/" + id);
        }
        record.note("engine " + id + ": its entry is removed from the store");
    }

    /** The platform removes the entry of an engine that is silent for three heartbeats. */
    void removeEntryAgain() {
        store.remove("servers/" + id);
        record.note("engine " + id + ": its entry has lapsed");
    }

    /** Ends without a word: connections are reset, its entry stays until it starts again or lapses. */
    void crash() {
        registered = false;
        server.close();
        record.note("engine " + id + ": crashes");
    }

    void exit() {
        registered = false;
        server.close();
        record.note("engine " + id + ": has exited");
    }

    int port() {
        return server.port();
    }

    protected String commonHeaders(Http.Message request) {
        String requestId = request.header("Request-Id");
        return (requestId.isEmpty() ? "" : "Request-Id: " + requestId + "\r\n")
                + "Engine-Load: " + running.get() + ",0," + slots + "\r\n"
                + (leaving ? "Server-Leaving: 1\r\n" : "");
    }

    protected void handle(Http.Message request, Socket socket) throws IOException {
        String requestId = request.header("Request-Id");
        String expected = request.header("Expect-Instance");
        if (request.target().equals("/healthz")) {
            Http.respond(socket, 200, "Instance-Id: " + id + "\r\n" + commonHeaders(request), "");
            return;
        }
        if (!expected.isEmpty() && !expected.equals(id)) {
            Http.respond(socket, 421, "Instance-Id: " + id + "\r\n" + commonHeaders(request), "");
            return;
        }
        boolean full = running.incrementAndGet() > slots;
        try {
            arrive(requestId, !full);
            if (full) {
                Http.respond(socket, 503, "Not-Executed: 1\r\n" + commonHeaders(request), "");
                return;
            }
            Http.sleep(workMillis);
            run(request, socket);
        } finally {
            running.decrementAndGet();
        }
    }

    protected void run(Http.Message request, Socket socket) throws IOException {
        String body = "done " + request.header("Request-Id") + " by " + id;
        Http.respond(socket, 200, commonHeaders(request) + "Response-Signature: " + signature(body) + "\r\n", body);
    }

    static String signature(String body) {
        return Integer.toHexString(body.hashCode());
    }

    protected void arrive(String requestId, boolean ran) {
        synchronized (arrivals) {
            arrivals.add(new Arrival(requestId, id, record.millis(), ran));
        }
        record.line("engine " + id + (ran ? " runs " : " turns away ") + requestId);
    }
}
