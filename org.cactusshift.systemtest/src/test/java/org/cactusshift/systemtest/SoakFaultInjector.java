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
 * Faults from outside the processes: signals, relays and the store. They come in series and overlap, but for one node
 * only one signal that ends or pauses it is out at a time.
 */
final class SoakFaultInjector implements AutoCloseable {
    private static final int SHORTEST_GAP_MILLIS = 200;
    private static final int LONGEST_GAP_MILLIS = 900;
    private static final int LONGEST_FAULT_MILLIS = 4_000;
    private static final long DELAY_MILLIS = 120;

    private final SoakSite site;
    private final Random random;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final List<Future<?>> underWay = new ArrayList<>();
    private final Set<SoakNode> signalled = new HashSet<>();
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
        CALLERS_SILENT,
        STORE_CUT,
        STORE_ONE_WAY,
        STORE_SILENT,
        STORE_SLOW,
        STORE_HISTORY,
        STORE_AWAY,
        PLATFORM_CUT,
        UPSTREAM_CUT,
        UPSTREAM_SILENT,
        UPSTREAM_ONE_WAY,
        UPSTREAM_UNLISTED,
        CONFIG
    }

    /** Injects faults for a time. */
    void run(long durationMillis) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(durationMillis);
        while (System.nanoTime() < end) {
            Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
            SoakNode node = site.nodes().get(random.nextInt(site.nodes().size()));
            int upstream = random.nextInt(site.upstreams().relays().size());
            long forMillis = 1 + random.nextInt(LONGEST_FAULT_MILLIS);
            history.add(kind + " " + site.nodes().indexOf(node) + " " + upstream + " " + forMillis);
            inject(kind, node, upstream, forMillis);
            TimeUnit.MILLISECONDS.sleep(SHORTEST_GAP_MILLIS + random.nextInt(LONGEST_GAP_MILLIS - SHORTEST_GAP_MILLIS));
        }
    }

    private void inject(Kind kind, SoakNode node, int upstream, long forMillis) {
        TcpRelay relay = site.upstreams().relays().get(upstream);
        switch (kind) {
            case PAUSE ->
                signal(node, () -> {
                    node.process().pause();
                    TimeUnit.MILLISECONDS.sleep(forMillis);
                    node.process().resume();
                });
            case KILL ->
                signal(node, () -> {
                    node.process().kill();
                    node.restart();
                });
            case STOP ->
                signal(node, () -> {
                    node.process().terminate();
                    node.restart();
                });
            case HANG_UP ->
                signal(node, () -> {
                    // A process that has not come to its first instruction yet cannot take the signal.
                    if (node.isReady()) {
                        node.process().hangUp();
                    }
                });
            case CALLERS_CUT ->
                during(
                        forMillis,
                        () -> {
                            node.noteHarm();
                            node.callers().cut();
                        },
                        () -> {
                            node.callers().restore();
                            node.noteHarm();
                        });
            case CALLERS_SILENT -> {
                node.noteHarm();
                node.callers().silenceOpenConnections();
            }
            case STORE_CUT -> during(forMillis, node.store()::cut, node.store()::restore);
            case STORE_ONE_WAY ->
                during(forMillis, () -> node.store().hold(Direction.FROM_TARGET), node.store()::restore);
            case STORE_SILENT -> node.store().silenceOpenConnections();
            case STORE_SLOW ->
                during(
                        forMillis,
                        () -> node.store().setDelayMillis(DELAY_MILLIS),
                        () -> node.store().setDelayMillis(0));
            case STORE_HISTORY -> site.store().dropHistory();
            case STORE_AWAY ->
                during(
                        forMillis,
                        () -> site.store().faults().setUnavailable(true),
                        () -> site.store().faults().setUnavailable(false));
            case PLATFORM_CUT -> during(forMillis, node.platform()::cut, node.platform()::restore);
            case UPSTREAM_CUT -> during(forMillis, relay::cut, relay::restore);
            case UPSTREAM_SILENT -> relay.silenceOpenConnections();
            case UPSTREAM_ONE_WAY -> during(forMillis, () -> relay.hold(Direction.FROM_TARGET), relay::restore);
            case UPSTREAM_UNLISTED ->
                during(
                        forMillis,
                        () -> site.upstreams().setListed(upstream, false),
                        () -> site.upstreams().setListed(upstream, true));
            case CONFIG -> site.changeConfig();
            default -> throw new IllegalStateException("no such fault: " + kind);
        }
    }

    private void signal(SoakNode node, Step step) {
        synchronized (signalled) {
            if (!signalled.add(node)) {
                return;
            }
        }
        start(() -> {
            try {
                step.run();
            } finally {
                synchronized (signalled) {
                    signalled.remove(node);
                }
            }
        });
    }

    private void during(long forMillis, Step begin, Step end) {
        start(() -> {
            begin.run();
            TimeUnit.MILLISECONDS.sleep(forMillis);
            end.run();
        });
    }

    private void start(Step step) {
        underWay.add(threads.submit(() -> {
            step.run();
            return null;
        }));
    }

    /** Waits until all faults are over. */
    @Override
    public void close() throws Exception {
        for (Future<?> fault : underWay) {
            fault.get();
        }
        threads.shutdown();
    }

    @Override
    public String toString() {
        return history.toString();
    }
}
