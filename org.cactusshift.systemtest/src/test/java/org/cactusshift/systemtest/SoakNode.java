package org.cactusshift.systemtest;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.cactusshift.standin.StandInClient;

/** A node process of a soak with the relays between it and its callers, the store and the platform. */
final class SoakNode implements AutoCloseable {
    private static final String MAIN_CLASS = "org.cactusshift.platform.PlatformNode";
    private static final long STOP_TIMEOUT_MILLIS = 30_000;
    private static final long READINESS_PROBE_MILLIS = 200;

    /** A fault counts for this long after its end, as in the platform's rules. */
    private static final long FAULT_AFTERMATH_MILLIS = 3_000;

    private final Path settings;
    private final Path output;
    private final String readiness;
    private final TcpRelay callers;
    private final TcpRelay store;
    private final TcpRelay platform;
    private NodeProcess process;
    private int incarnation;
    private long lastFaultNanos = System.nanoTime();
    private int newestVisibleRoute;

    private SoakNode(
            Path settings, Path output, String readiness, TcpRelay callers, TcpRelay store, TcpRelay platform) {
        this.settings = settings;
        this.output = output;
        this.readiness = readiness;
        this.callers = callers;
        this.store = store;
        this.platform = platform;
    }

    static SoakNode start(String name, Path directory, String storeAddress, String platformAddress) throws IOException {
        List<String> addresses = FreePorts.addresses(4);
        String callers = addresses.get(0);
        String readiness = addresses.get(1);
        TcpRelay store = TcpRelay.start(storeAddress);
        TcpRelay platform = TcpRelay.start(platformAddress);
        Path settings = directory.resolve(name + ".json");
        Files.writeString(settings, """
            {"instance": "%s", "failureDomain": "a",
             "listen": {"callers": "%s", "readiness": "%s",
                        "peers": "%s", "metrics": "%s"},
             "keyValueService": "%s", "platformService": "%s",
             "retries": {"ratio": 0.2, "extra": 56, "windowSeconds": 10},
             "timing": {"leaseMillis": 3000, "usageWindowSeconds": 5, "configMillis": 2000,
                        "drainMillis": 2000, "graceSeconds": 8}}
            """.formatted(
                name, callers, readiness, addresses.get(2), addresses.get(3), store.address(), platform.address()));
        SoakNode node = new SoakNode(
                settings, directory.resolve(name + ".log"), readiness, TcpRelay.start(callers), store, platform);
        node.startProcess();
        return node;
    }

    synchronized void startProcess() throws IOException {
        process = NodeProcess.start(MAIN_CLASS, output, Map.of("CACTUSSHIFT_NODE_FILE", settings.toString()));
        incarnation++;
        newestVisibleRoute = 0;
    }

    /** Waits for the end of a process that was asked to stop or was killed, and starts it again. */
    void restart() throws IOException, InterruptedException {
        if (process.awaitExit(STOP_TIMEOUT_MILLIS).isEmpty()) {
            throw new IOException(settings.getFileName() + " has not ended");
        }
        startProcess();
    }

    /** Notes the begin or the end of a fault between callers and the process, or of the process. */
    synchronized void recordFault() {
        lastFaultNanos = System.nanoTime();
    }

    /** Tells whether such a fault was under way, or lately over, when something began. */
    synchronized boolean hadFaultSince(long beginNanos) {
        return lastFaultNanos - beginNanos > -TimeUnit.MILLISECONDS.toNanos(FAULT_AFTERMATH_MILLIS);
    }

    /** Tells whether the process takes callers now. */
    boolean isReady() throws InterruptedException {
        return process.awaitPage(StandInClient.create(), readiness, "/-/ready", READINESS_PROBE_MILLIS);
    }

    NodeProcess process() {
        return process;
    }

    TcpRelay callers() {
        return callers;
    }

    TcpRelay store() {
        return store;
    }

    TcpRelay platform() {
        return platform;
    }

    String readiness() {
        return readiness;
    }

    synchronized int incarnation() {
        return incarnation;
    }

    /** Notes whether a route was known in a life; returns false when the node knew it before in the same life. */
    synchronized boolean recordRouteVisibility(int inLife, int route, boolean known) {
        if (inLife != incarnation) {
            return true;
        }
        if (known) {
            newestVisibleRoute = Math.max(newestVisibleRoute, route);
        }
        return known || route > newestVisibleRoute;
    }

    @Override
    public void close() throws IOException {
        process.close();
        callers.close();
        store.close();
        platform.close();
    }
}
