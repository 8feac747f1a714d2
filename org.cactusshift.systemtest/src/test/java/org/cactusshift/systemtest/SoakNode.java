package org.cactusshift.systemtest;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.cactusshift.standin.StandInClient;
import org.cactusshift.standin.link.TcpRelay;
import org.cactusshift.standin.site.SiteStore;
import org.cactusshift.standin.site.SiteStoreView;

/**
 * A node process of a soak test, {@code org.cactusshift.platform.PlatformNode}, with the relays that connect it to its
 * callers, the store and the platform.
 */
final class SoakNode implements AutoCloseable {
    private static final String MAIN_CLASS = "org.cactusshift.platform.PlatformNode";
    private static final long STOP_TIMEOUT_MILLIS = 30_000;
    private static final long READINESS_PROBE_TIMEOUT_MILLIS = 200;

    /** Time after an unplanned interruption during which lost responses are no violations, as the platform has it. */
    private static final long INTERRUPTION_GRACE_MILLIS = 3_000;

    private final Path settings;
    private final Path output;
    private final String readinessAddress;
    private final TcpRelay callerRelay;
    private final SiteStoreView storeView;
    private final TcpRelay storeRelay;
    private final TcpRelay platformRelay;
    private NodeProcess process;
    private int incarnation;
    private long lastInterruptionNanos = System.nanoTime();
    private int newestVisibleRoute;
    private long startedAtNanos;
    private boolean stopping;

    /** When the links to the upstreams were lost; 0 while there are any. */
    private long linksLostAtNanos;

    private SoakNode(
            Path settings,
            Path output,
            String readinessAddress,
            TcpRelay callerRelay,
            SiteStoreView storeView,
            TcpRelay storeRelay,
            TcpRelay platformRelay) {
        this.settings = settings;
        this.output = output;
        this.readinessAddress = readinessAddress;
        this.callerRelay = callerRelay;
        this.storeView = storeView;
        this.storeRelay = storeRelay;
        this.platformRelay = platformRelay;
    }

    static SoakNode start(String name, Path directory, SiteStore store, String usageAddress) throws IOException {
        List<String> addresses = FreePorts.addresses(4);
        String callerAddress = addresses.get(0);
        String readinessAddress = addresses.get(1);
        SiteStoreView storeView = SiteStoreView.of(store);
        storeView.start();
        TcpRelay storeRelay = TcpRelay.start(storeView.address());
        TcpRelay platformRelay = TcpRelay.start(usageAddress);
        Path settings = directory.resolve(name + ".json");
        // Each node sees other addresses of the upstreams, so it must not share its reads with others of its domain.
        Files.writeString(settings, """
            {"instance": "%1$s", "failureDomain": "%1$s",
             "listen": {"callers": "%2$s", "readiness": "%3$s",
                        "peers": "%4$s", "metrics": "%5$s"},
             "keyValueService": "%6$s", "platformService": "%7$s",
             "retries": {"ratio": 0.2, "extra": 56, "windowSeconds": 10},
             "timing": {"leaseMillis": 3000, "usageWindowSeconds": 5, "configMillis": 2000,
                        "drainMillis": 2000, "graceSeconds": 8}}
            """.formatted(
                        name,
                        callerAddress,
                        readinessAddress,
                        addresses.get(2),
                        addresses.get(3),
                        storeRelay.address(),
                        platformRelay.address()));
        SoakNode node = new SoakNode(
                settings,
                directory.resolve(name + ".log"),
                readinessAddress,
                TcpRelay.start(callerAddress),
                storeView,
                storeRelay,
                platformRelay);
        node.startProcess();
        return node;
    }

    synchronized void startProcess() throws IOException {
        process = NodeProcess.start(MAIN_CLASS, output, Map.of("CACTUSSHIFT_NODE_FILE", settings.toString()));
        incarnation++;
        startedAtNanos = System.nanoTime();
        newestVisibleRoute = 0;
        stopping = false;
    }

    /** Stops the process in a planned way. */
    void terminate() throws IOException {
        synchronized (this) {
            stopping = true;
        }
        process().terminate();
    }

    /** Waits until a terminated or killed process has exited, and starts a new one with the same settings. */
    void restart() throws IOException, InterruptedException {
        if (process.awaitExit(STOP_TIMEOUT_MILLIS).isEmpty()) {
            throw new IOException("the node with settings file " + settings.getFileName() + " did not exit within "
                    + STOP_TIMEOUT_MILLIS + " ms");
        }
        startProcess();
    }

    /** Records that an unplanned interruption of the process or of its connections to callers begins or ends now. */
    synchronized void recordInterruption() {
        lastInterruptionNanos = System.nanoTime();
    }

    /** Returns whether one began or ended after the given System.nanoTime() value or up to 3 s before it. */
    synchronized boolean hadRecentInterruption(long sentAtNanos) {
        return lastInterruptionNanos - sentAtNanos > -TimeUnit.MILLISECONDS.toNanos(INTERRUPTION_GRACE_MILLIS);
    }

    /**
     * Returns whether the process had run for 3 s at the given System.nanoTime() value, with no unplanned interruption
     * since.
     */
    synchronized boolean wasInTouch(long sentAtNanos) {
        return !hadRecentInterruption(sentAtNanos)
                && sentAtNanos - startedAtNanos > TimeUnit.MILLISECONDS.toNanos(INTERRUPTION_GRACE_MILLIS);
    }

    /** Returns whether nodes without links could pass requests to this one, which has its links. */
    synchronized boolean takesPassedRequests(long sentAtNanos) {
        return linksLostAtNanos == 0 && !stopping && wasInTouch(sentAtNanos);
    }

    /** Cuts the links to all upstreams: they hang, or are reset. */
    void loseUpstreamLinks(boolean hang) throws IOException {
        synchronized (this) {
            linksLostAtNanos = System.nanoTime();
        }
        for (TcpRelay link : storeView.upstreamLinks()) {
            if (hang) {
                link.holdBoth();
                link.hangNewConnections();
            } else {
                link.cut();
            }
        }
    }

    void restoreUpstreamLinks() throws IOException {
        synchronized (this) {
            linksLostAtNanos = 0;
        }
        for (TcpRelay link : storeView.upstreamLinks()) {
            link.restore();
        }
    }

    /** Returns for how long the links to all upstreams have been lost, 0 while there are any. */
    synchronized long linksLostForMillis() {
        return linksLostAtNanos == 0
                ? 0
                : Math.max(1, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - linksLostAtNanos));
    }

    /** Returns whether the process reports itself ready for callers. */
    boolean isReady() throws InterruptedException {
        return process.awaitOk(StandInClient.create(), readinessAddress, "/-/ready", READINESS_PROBE_TIMEOUT_MILLIS);
    }

    NodeProcess process() {
        return process;
    }

    TcpRelay callerRelay() {
        return callerRelay;
    }

    TcpRelay storeRelay() {
        return storeRelay;
    }

    TcpRelay platformRelay() {
        return platformRelay;
    }

    String readinessAddress() {
        return readinessAddress;
    }

    synchronized int incarnation() {
        return incarnation;
    }

    /**
     * Records whether a route was visible at an incarnation of the node, and returns whether that is consistent: false
     * when it is not visible although it, or a newer route, was visible before at the same incarnation. Observations of
     * an earlier incarnation are ignored.
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
        callerRelay.close();
        storeRelay.close();
        storeView.close();
        platformRelay.close();
    }
}
