package org.cactusshift.systemtest;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.cactusshift.standin.link.Direction;
import org.cactusshift.standin.link.TcpRelay;

/**
 * Injects random faults from outside the processes: signals, faults of the relays and faults of the store. Faults may
 * overlap, but each node has at most one signal fault at a time.
 */
final class SoakFaultInjector implements AutoCloseable {
    private static final int MINIMUM_INTERVAL_MILLIS = 200;
    private static final int MAXIMUM_INTERVAL_MILLIS = 900;
    private static final int MAXIMUM_FAULT_MILLIS = 4_000;
    private static final long STORE_DELAY_MILLIS = 120;

    /** The kinds that a seed chooses from; those after them are injected in addition. */
    private static final int SCHEDULED_KINDS = SoakFaultKind.UPSTREAM_LIMITED.ordinal();

    private static final int FAULTS_PER_LIMIT = 5;

    /** Of as many faults, two more on average are a rest and lost links. */
    private static final int FAULTS_PER_LOST_LINKS = 8;

    /** Longer than nodes may take until their callers must be served again. */
    private static final int MINIMUM_LINK_FAULT_MILLIS = 5_000;

    private static final int REST_SECONDS = 3;

    /** Longer than nodes may take to keep to a limit, and the window in which it is judged. */
    private static final long LIMIT_MILLIS = 9_000;

    private static final double MAXIMUM_LIMIT_PER_SECOND = 20;

    private final SoakSite site;
    private final Random random;
    private final Random limitRandom;
    private final Random linkRandom;

    /** The kinds of {@link #injectRestOrLostLinks} that are in effect. */
    private final Set<SoakFaultKind> activeLinkFaults = ConcurrentHashMap.newKeySet();

    /** Each upstream states a limit at most once. */
    private final Set<Integer> limitedUpstreams = new HashSet<>();

    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final List<Future<?>> activeFaults = new ArrayList<>();
    private final Set<SoakNode> nodesWithSignalFault = new HashSet<>();
    private final List<SoakFault> history = new ArrayList<>();

    SoakFaultInjector(SoakSite site, long seed) {
        this.site = site;
        this.random = new Random(seed);
        this.limitRandom = new Random(~seed);
        this.linkRandom = new Random(31 * seed + 1);
    }

    private interface Step {
        void run() throws IOException, InterruptedException;
    }

    /** Starts faults at random intervals for the given time. */
    void run(long durationMillis) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(durationMillis);
        while (System.nanoTime() < endNanos) {
            SoakFaultKind kind = SoakFaultKind.values()[random.nextInt(SCHEDULED_KINDS)];
            int nodeIndex = random.nextInt(site.nodes().size());
            int upstreamIndex = random.nextInt(SoakUpstreams.FAULT_TARGETS);
            long faultMillis = 1 + random.nextInt(MAXIMUM_FAULT_MILLIS);
            SoakFault fault = SoakFault.create(kind, nodeIndex, upstreamIndex, faultMillis, System.currentTimeMillis());
            history.add(fault);
            inject(fault);
            injectLimit();
            injectRestOrLostLinks();
            TimeUnit.MILLISECONDS.sleep(
                    MINIMUM_INTERVAL_MILLIS + random.nextInt(MAXIMUM_INTERVAL_MILLIS - MINIMUM_INTERVAL_MILLIS));
        }
    }

    /** Starts a limit at one upstream now and then; drawn apart, so that seeds choose the other faults as ever. */
    private void injectLimit() {
        int upstreamIndex = limitRandom.nextInt(SoakUpstreams.FAULT_TARGETS);
        boolean isDue = limitRandom.nextInt(FAULTS_PER_LIMIT) == 0;
        if (isDue && limitedUpstreams.add(upstreamIndex)) {
            SoakFault fault = SoakFault.create(
                    SoakFaultKind.UPSTREAM_LIMITED, 0, upstreamIndex, LIMIT_MILLIS, System.currentTimeMillis());
            history.add(fault);
            inject(fault);
        }
    }

    /** Lets an upstream rest, or nodes lose their links, now and then; one at a time, drawn apart as limits are. */
    private void injectRestOrLostLinks() {
        int choice = linkRandom.nextInt(FAULTS_PER_LOST_LINKS);
        int nodeIndex = linkRandom.nextInt(site.nodes().size());
        int upstreamIndex = linkRandom.nextInt(SoakUpstreams.FAULT_TARGETS);
        SoakFaultKind kind = choice == 0 ? SoakFaultKind.UPSTREAM_LINKS_LOST : SoakFaultKind.UPSTREAM_RESTING;
        if (choice <= 1 && activeLinkFaults.add(kind)) {
            SoakFault fault = SoakFault.create(
                    kind,
                    nodeIndex,
                    upstreamIndex,
                    MINIMUM_LINK_FAULT_MILLIS + linkRandom.nextInt(MAXIMUM_FAULT_MILLIS),
                    System.currentTimeMillis());
            history.add(fault);
            inject(fault);
        }
    }

    /** Returns the node of a fault or, for every second choice of it, all other nodes. */
    private List<SoakNode> nodesWithoutLinks(SoakFault fault) {
        SoakNode chosen = site.nodes().get(fault.nodeIndex());
        return fault.faultMillis() % 2 == 0
                ? List.of(chosen)
                : site.nodes().stream().filter(node -> node != chosen).toList();
    }

    private void loseLinks(SoakFault fault) throws IOException {
        for (SoakNode node : nodesWithoutLinks(fault)) {
            node.loseUpstreamLinks(fault.upstreamIndex() % 2 == 0);
        }
    }

    private void restoreLinks(SoakFault fault) throws IOException {
        for (SoakNode node : nodesWithoutLinks(fault)) {
            node.restoreUpstreamLinks();
        }
        activeLinkFaults.remove(fault.kind());
    }

    /** Starts a fault; returns when its node knows of it, if it is an unplanned interruption. */
    void inject(SoakFault fault) {
        SoakNode node = site.nodes().get(fault.nodeIndex());
        TcpRelay relay = site.upstreams().relays().get(fault.upstreamIndex());
        switch (fault.kind()) {
            case PAUSE ->
                startSignalFault(fault, node, () -> {
                    node.process().pause();
                    TimeUnit.MILLISECONDS.sleep(fault.faultMillis());
                    node.recordInterruption();
                    node.process().resume();
                });
            case KILL ->
                startSignalFault(fault, node, () -> {
                    node.process().kill();
                    node.restart();
                });
            case TERMINATE ->
                startSignalFault(fault, node, () -> {
                    node.terminate();
                    node.restart();
                });
            case RELOAD_SETTINGS ->
                startSignalFault(fault, node, () -> {
                    // SIGHUP would end a process that has not installed its signal handler yet.
                    if (node.isReady()) {
                        node.process().reloadSettings();
                    }
                });
            case CALLERS_CUT -> startTimedFault(fault, node.callerRelay()::cut, node.callerRelay()::restore);
            case CALLERS_STALLED -> injectImmediateFault(fault, node.callerRelay()::stallOpenConnections);
            case STORE_CUT -> startTimedFault(fault, node.storeRelay()::cut, node.storeRelay()::restore);
            case STORE_RESPONSES_HELD ->
                startTimedFault(fault, () -> node.storeRelay().hold(Direction.FROM_TARGET), node.storeRelay()::restore);
            case STORE_STALLED -> injectImmediateFault(fault, node.storeRelay()::stallOpenConnections);
            case STORE_SLOW ->
                startTimedFault(
                        fault,
                        () -> node.storeRelay().setDelayMillis(STORE_DELAY_MILLIS),
                        () -> node.storeRelay().setDelayMillis(0));
            case STORE_HISTORY_DROPPED -> injectImmediateFault(fault, site.store()::dropHistory);
            case STORE_AWAY ->
                startTimedFault(
                        fault,
                        () -> site.store().faults().setUnavailable(true),
                        () -> site.store().faults().setUnavailable(false));
            case PLATFORM_CUT -> startTimedFault(fault, node.platformRelay()::cut, node.platformRelay()::restore);
            case UPSTREAM_CUT -> startTimedFault(fault, relay::cut, relay::restore);
            case UPSTREAM_STALLED -> injectImmediateFault(fault, relay::stallOpenConnections);
            case UPSTREAM_RESPONSES_HELD ->
                startTimedFault(fault, () -> relay.hold(Direction.FROM_TARGET), relay::restore);
            case UPSTREAM_UNLISTED ->
                startTimedFault(
                        fault,
                        () -> site.upstreams().setListed(fault.upstreamIndex(), false),
                        () -> site.upstreams().setListed(fault.upstreamIndex(), true));
            case UPSTREAM_LIMITED ->
                startTimedFault(
                        fault,
                        () -> site.upstreams()
                                .stateLimit(fault.upstreamIndex(), limitRandom.nextDouble() * MAXIMUM_LIMIT_PER_SECOND),
                        () -> site.upstreams().endLimit(fault.upstreamIndex()));
            case UPSTREAM_RESTING ->
                startTimedFault(fault, () -> site.upstreams().askForRest(fault.upstreamIndex(), REST_SECONDS), () -> {
                    site.upstreams().askForRest(fault.upstreamIndex(), 0);
                    activeLinkFaults.remove(fault.kind());
                });
            case UPSTREAM_LINKS_LOST -> startTimedFault(fault, () -> loseLinks(fault), () -> restoreLinks(fault));
            case CONFIG_CHANGE -> injectImmediateFault(fault, site::publishNextConfig);
            default -> throw new IllegalStateException("unknown fault: " + fault.kind());
        }
    }

    /** Starts a signal fault unless one is active at the node. */
    private void startSignalFault(SoakFault fault, SoakNode node, Step step) {
        synchronized (nodesWithSignalFault) {
            if (!nodesWithSignalFault.add(node)) {
                fault.onSkipped();
                return;
            }
        }
        recordInterruption(fault);
        start(() -> {
            try {
                step.run();
            } finally {
                recordInterruption(fault);
                fault.onEnded(System.currentTimeMillis());
                synchronized (nodesWithSignalFault) {
                    nodesWithSignalFault.remove(node);
                }
            }
        });
    }

    private void startTimedFault(SoakFault fault, Step begin, Step end) {
        recordInterruption(fault);
        start(() -> {
            begin.run();
            TimeUnit.MILLISECONDS.sleep(fault.faultMillis());
            end.run();
            recordInterruption(fault);
            fault.onEnded(System.currentTimeMillis());
        });
    }

    private void injectImmediateFault(SoakFault fault, Runnable step) {
        recordInterruption(fault);
        step.run();
        fault.onEnded(System.currentTimeMillis());
    }

    /** Records the begin or the end of a fault at its node if it is an unplanned interruption. */
    private void recordInterruption(SoakFault fault) {
        if (fault.kind().isUnplannedInterruption()) {
            site.nodes().get(fault.nodeIndex()).recordInterruption();
        }
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

    /** Returns the faults chosen so far; to be called by the thread that runs the injector. */
    List<SoakFault> history() {
        return List.copyOf(history);
    }

    @Override
    public String toString() {
        return history.stream().map(SoakFault::choice).toList().toString();
    }
}
