package org.cactusshift.systemtest;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Injects random faults from outside the processes: signals, faults of the relays and faults of the store. Faults may
 * overlap, but each node has at most one signal fault at a time.
 */
final class SoakFaultInjector implements AutoCloseable {
    private static final int MINIMUM_INTERVAL_MILLIS = 200;
    private static final int MAXIMUM_INTERVAL_MILLIS = 900;
    private static final int MAXIMUM_FAULT_MILLIS = 4_000;
    private static final long STORE_DELAY_MILLIS = 120;

    private final SoakSite site;
    private final Random random;
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final List<Future<?>> activeFaults = new ArrayList<>();
    private final Set<SoakNode> nodesWithSignalFault = new HashSet<>();
    private final List<String> history = new ArrayList<>();

    SoakFaultInjector(SoakSite site, long seed) {
        this.site = site;
        this.random = new Random(seed);
    }

    private interface Step {
        void run() throws IOException, InterruptedException;
    }

    private enum Kind {
        /** Pauses a node process (SIGSTOP). */
        PAUSE,
        /** Kills a node process (SIGKILL) and starts a new one. */
        KILL,
        /** Terminates a node process (SIGTERM) and starts a new one. */
        TERMINATE,
        /** Makes a node process reload its settings (SIGHUP). */
        RELOAD_SETTINGS,
        /** Cuts the connections of callers to a node. */
        CALLERS_CUT,
        /** Stalls the open connections of callers to a node. */
        CALLERS_STALLED,
        /** Cuts the connections of a node to the store. */
        STORE_CUT,
        /** Holds back what the store sends to a node. */
        STORE_RESPONSES_HELD,
        /** Stalls the open connections of a node to the store. */
        STORE_STALLED,
        /** Delays the bytes between a node and the store. */
        STORE_SLOW,
        /** Drops the change history of the store, so that watchers have to read all keys again. */
        STORE_HISTORY_DROPPED,
        /** Makes the store unavailable. */
        STORE_AWAY,
        /** Cuts the connections of a node to the endpoint for usage reports. */
        PLATFORM_CUT,
        /** Cuts the connections of all nodes to an upstream. */
        UPSTREAM_CUT,
        /** Stalls the open connections of all nodes to an upstream. */
        UPSTREAM_STALLED,
        /** Holds back what an upstream sends to the nodes. */
        UPSTREAM_RESPONSES_HELD,
        /** Removes the store entry of an upstream. */
        UPSTREAM_UNLISTED,
        /** Publishes the next configuration. */
        CONFIG_CHANGE
    }

    /** Starts faults at random intervals for the given time. */
    void run(long durationMillis) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(durationMillis);
        while (System.nanoTime() < endNanos) {
            Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
            SoakNode node = site.nodes().get(random.nextInt(site.nodes().size()));
            int upstreamIndex = random.nextInt(site.upstreams().relays().size());
            long faultMillis = 1 + random.nextInt(MAXIMUM_FAULT_MILLIS);
            history.add(kind + " " + site.nodes().indexOf(node) + " " + upstreamIndex + " " + faultMillis);
            inject(kind, node, upstreamIndex, faultMillis);
            TimeUnit.MILLISECONDS.sleep(
                    MINIMUM_INTERVAL_MILLIS + random.nextInt(MAXIMUM_INTERVAL_MILLIS - MINIMUM_INTERVAL_MILLIS));
        }
    }

    private void inject(Kind kind, SoakNode node, int upstreamIndex, long faultMillis) {
        TcpRelay relay = site.upstreams().relays().get(upstreamIndex);
        switch (kind) {
            case PAUSE ->
                startSignalFault(node, () -> {
                    node.process().pause();
                    TimeUnit.MILLISECONDS.sleep(faultMillis);
                    node.process().resume();
                });
            case KILL ->
                startSignalFault(node, () -> {
                    node.process().kill();
                    node.restart();
                });
            case TERMINATE ->
                startSignalFault(node, () -> {
                    node.process().terminate();
                    node.restart();
                });
            case RELOAD_SETTINGS ->
                startSignalFault(node, () -> {
                    // SIGHUP would end a process that has not installed its signal handler yet.
                    if (node.isReady()) {
                        node.process().reloadSettings();
                    }
                });
            case CALLERS_CUT ->
                startTimedFault(
                        faultMillis,
                        () -> {
                            node.recordFault();
                            node.callerRelay().cut();
                        },
                        () -> {
                            node.callerRelay().restore();
                            node.recordFault();
                        });
            case CALLERS_STALLED -> {
                node.recordFault();
                node.callerRelay().stallOpenConnections();
            }
            case STORE_CUT -> startTimedFault(faultMillis, node.storeRelay()::cut, node.storeRelay()::restore);
            case STORE_RESPONSES_HELD ->
                startTimedFault(
                        faultMillis, () -> node.storeRelay().hold(Direction.FROM_TARGET), node.storeRelay()::restore);
            case STORE_STALLED -> node.storeRelay().stallOpenConnections();
            case STORE_SLOW ->
                startTimedFault(
                        faultMillis,
                        () -> node.storeRelay().setDelayMillis(STORE_DELAY_MILLIS),
                        () -> node.storeRelay().setDelayMillis(0));
            case STORE_HISTORY_DROPPED -> site.store().dropHistory();
            case STORE_AWAY ->
                startTimedFault(
                        faultMillis,
                        () -> site.store().faults().setUnavailable(true),
                        () -> site.store().faults().setUnavailable(false));
            case PLATFORM_CUT -> startTimedFault(faultMillis, node.platformRelay()::cut, node.platformRelay()::restore);
            case UPSTREAM_CUT -> startTimedFault(faultMillis, relay::cut, relay::restore);
            case UPSTREAM_STALLED -> relay.stallOpenConnections();
            case UPSTREAM_RESPONSES_HELD ->
                startTimedFault(faultMillis, () -> relay.hold(Direction.FROM_TARGET), relay::restore);
            case UPSTREAM_UNLISTED ->
                startTimedFault(
                        faultMillis,
                        () -> site.upstreams().setListed(upstreamIndex, false),
                        () -> site.upstreams().setListed(upstreamIndex, true));
            case CONFIG_CHANGE -> site.publishNextConfig();
            default -> throw new IllegalStateException("unknown fault: " + kind);
        }
    }

    /** Starts a signal fault unless one is active at the node. */
    private void startSignalFault(SoakNode node, Step step) {
        synchronized (nodesWithSignalFault) {
            if (!nodesWithSignalFault.add(node)) {
                return;
            }
        }
        start(() -> {
            try {
                step.run();
            } finally {
                synchronized (nodesWithSignalFault) {
                    nodesWithSignalFault.remove(node);
                }
            }
        });
    }

    private void startTimedFault(long faultMillis, Step begin, Step end) {
        start(() -> {
            begin.run();
            TimeUnit.MILLISECONDS.sleep(faultMillis);
            end.run();
        });
    }

    private void start(Step step) {
        activeFaults.add(executor.submit(() -> {
            step.run();
            return null;
        }));
    }

    /** Waits until all faults have ended. */
    @Override
    public void close() throws Exception {
        for (Future<?> fault : activeFaults) {
            fault.get();
        }
        executor.shutdown();
    }

    @Override
    public String toString() {
        return history.toString();
    }
}
