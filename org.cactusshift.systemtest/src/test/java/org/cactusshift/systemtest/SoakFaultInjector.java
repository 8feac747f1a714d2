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
    private final Set<SoakNode> nodesWithSignal = new HashSet<>();
    private final List<String> history = new ArrayList<>();

    SoakFaultInjector(SoakSite site, long seed) {
        this.site = site;
        this.random = new Random(seed);
    }

    private interface Step {
        void run() throws IOException, InterruptedException;
    }

    private enum Kind {
        PAUSE,
        KILL,
        STOP,
        HANG_UP,
        CALLERS_CUT,
        CALLERS_STALLED,
        STORE_CUT,
        STORE_ONE_WAY,
        STORE_STALLED,
        STORE_SLOW,
        STORE_HISTORY,
        STORE_AWAY,
        PLATFORM_CUT,
        UPSTREAM_CUT,
        UPSTREAM_STALLED,
        UPSTREAM_ONE_WAY,
        UPSTREAM_UNLISTED,
        CONFIG
    }

    /** Starts faults at random intervals for the given time. */
    void run(long durationMillis) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(durationMillis);
        while (System.nanoTime() < end) {
            Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
            SoakNode node = site.nodes().get(random.nextInt(site.nodes().size()));
            int upstream = random.nextInt(site.upstreams().relays().size());
            long forMillis = 1 + random.nextInt(MAXIMUM_FAULT_MILLIS);
            history.add(kind + " " + site.nodes().indexOf(node) + " " + upstream + " " + forMillis);
            inject(kind, node, upstream, forMillis);
            TimeUnit.MILLISECONDS.sleep(
                    MINIMUM_INTERVAL_MILLIS + random.nextInt(MAXIMUM_INTERVAL_MILLIS - MINIMUM_INTERVAL_MILLIS));
        }
    }

    private void inject(Kind kind, SoakNode node, int upstream, long forMillis) {
        TcpRelay relay = site.upstreams().relays().get(upstream);
        switch (kind) {
            case PAUSE ->
                startSignalFault(node, () -> {
                    node.process().pause();
                    TimeUnit.MILLISECONDS.sleep(forMillis);
                    node.process().resume();
                });
            case KILL ->
                startSignalFault(node, () -> {
                    node.process().kill();
                    node.restart();
                });
            case STOP ->
                startSignalFault(node, () -> {
                    node.process().terminate();
                    node.restart();
                });
            case HANG_UP ->
                startSignalFault(node, () -> {
                    // SIGHUP would end a process that has not installed its signal handler yet.
                    if (node.isReady()) {
                        node.process().reloadSettings();
                    }
                });
            case CALLERS_CUT ->
                startTimedFault(
                        forMillis,
                        () -> {
                            node.recordFault();
                            node.callers().cut();
                        },
                        () -> {
                            node.callers().restore();
                            node.recordFault();
                        });
            case CALLERS_STALLED -> {
                node.recordFault();
                node.callers().stallOpenConnections();
            }
            case STORE_CUT -> startTimedFault(forMillis, node.store()::cut, node.store()::restore);
            case STORE_ONE_WAY ->
                startTimedFault(forMillis, () -> node.store().hold(Direction.FROM_TARGET), node.store()::restore);
            case STORE_STALLED -> node.store().stallOpenConnections();
            case STORE_SLOW ->
                startTimedFault(
                        forMillis,
                        () -> node.store().setDelayMillis(STORE_DELAY_MILLIS),
                        () -> node.store().setDelayMillis(0));
            case STORE_HISTORY -> site.store().dropHistory();
            case STORE_AWAY ->
                startTimedFault(
                        forMillis,
                        () -> site.store().faults().setUnavailable(true),
                        () -> site.store().faults().setUnavailable(false));
            case PLATFORM_CUT -> startTimedFault(forMillis, node.platform()::cut, node.platform()::restore);
            case UPSTREAM_CUT -> startTimedFault(forMillis, relay::cut, relay::restore);
            case UPSTREAM_STALLED -> relay.stallOpenConnections();
            case UPSTREAM_ONE_WAY ->
                startTimedFault(forMillis, () -> relay.hold(Direction.FROM_TARGET), relay::restore);
            case UPSTREAM_UNLISTED ->
                startTimedFault(
                        forMillis,
                        () -> site.upstreams().setListed(upstream, false),
                        () -> site.upstreams().setListed(upstream, true));
            case CONFIG -> site.changeConfig();
            default -> throw new IllegalStateException("unknown fault: " + kind);
        }
    }

    private void startSignalFault(SoakNode node, Step step) {
        synchronized (nodesWithSignal) {
            if (!nodesWithSignal.add(node)) {
                return;
            }
        }
        start(() -> {
            try {
                step.run();
            } finally {
                synchronized (nodesWithSignal) {
                    nodesWithSignal.remove(node);
                }
            }
        });
    }

    private void startTimedFault(long forMillis, Step begin, Step end) {
        start(() -> {
            begin.run();
            TimeUnit.MILLISECONDS.sleep(forMillis);
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
