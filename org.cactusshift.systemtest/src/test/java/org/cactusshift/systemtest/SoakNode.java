package org.cactusshift.systemtest;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.cactusshift.standin.StandInClient;

/** A node process of a soak, with the relays that connect it to its callers, the store and the platform. */
final class SoakNode implements AutoCloseable {
    private static final String MAIN_CLASS = "org.cactusshift.platform.PlatformNode";
    private static final long STOP_TIMEOUT_MILLIS = 30_000;
    private static final long READINESS_PROBE_MILLIS = 200;

    /** Time for which a fault still excuses failures after its end, as in the platform's rules. */
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

    /** Waits until a terminated or killed process has exited, and starts a new one with the same settings. */
    void restart() throws IOException, InterruptedException {
        if (process.awaitExit(STOP_TIMEOUT_MILLIS).isEmpty()) {
            throw new IOException("node with settings " + settings.getFileName() + " did not exit within "
                    + STOP_TIMEOUT_MILLIS + " ms");
        }
        startProcess();
    }

    /** Records the begin or the end of a fault of the process or of its connections to callers. */
    synchronized void recordFault() {
        lastFaultNanos = System.nanoTime();
    }

    /** Returns whether such a fault began or ended after the given time or shortly before it. */
    synchronized boolean hadFaultSince(long beginNanos) {
        return lastFaultNanos - beginNanos > -TimeUnit.MILLISECONDS.toNanos(FAULT_AFTERMATH_MILLIS);
    }

    /** Returns whether the process reports itself ready for callers. */
    boolean isReady() throws InterruptedException {
        return process.awaitOk(StandInClient.create(), readiness, "/-/ready", READINESS_PROBE_MILLIS);
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

    /**
     * Records whether a route was visible at an incarnation of the node; returns false when it is not visible
     * although it, or a newer route, was visible before at the same incarnation.
     */
    synchronized boolean recordRouteVisibility(int observedIncarnation, int route, boolean visible) {
        if (observedIncarnation != incarnation) {
            return true;
        }
        if (visible) {
            newestVisibleRoute = Math.max(newestVisibleRoute, route);
        }
        return visible || route > newestVisibleRoute;
    }

    @Override
    public void close() throws IOException {
        process.close();
        callers.close();
        store.close();
        platform.close();
    }
}
