package org.cactusshift.internal.coordination.serving;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.cactusshift.internal.coordination.performance.PerformanceReport;

/** Nodes that place requests at plain upstreams, in virtual time; each response reports the load of its upstream. */
final class PlacementSimulation {
    static final int SLOTS = 12;

    private static final double WORK_MILLIS = 60;
    private static final long TICK_MILLIS = 250;
    private static final int PEERS_PER_TICK = 8;
    private static final ServedRoute ROUTE =
            ServingFixture.route(RequestKind.NOT_REPEATABLE, ServingFixture.PLAIN, 120, 1_500);

    /** How long work takes at an upstream, relative to the usual time. */
    interface WorkTime {
        double factor(int upstream, int running, long nowMillis);
    }

    /** What an upstream states in percent, 0 for nothing. */
    interface Statement {
        int percent(int upstream, long nowMillis);
    }

    /** Chooses the upstream of a request. */
    interface Choice {
        int choose(ServingFixture node, long nowMillis);
    }

    private final WorkTime workTime;
    private final Statement statement;
    private final Choice choice;
    private final SplittableRandom random;
    private final List<ServingFixture> nodes = new ArrayList<>();
    private final int[] running;
    private final List<ArrayDeque<Job>> queues = new ArrayList<>();
    private final PriorityQueue<Job> ends = new PriorityQueue<>((one, other) -> Double.compare(one.endAt, other.endAt));

    /** The work done in each second by upstream, as the time that it would take at usual speed. */
    final double[][] workBySecond;

    final List<Double> latenciesMillis = new ArrayList<>();

    private static final class Job {
        private ServingFixture node;
        private Upstream target;
        private SentWork work;
        private int upstream;
        private long sentAt;
        private double sizeMillis;
        private double endAt;
    }

    PlacementSimulation(
            int nodeCount,
            int upstreams,
            int seconds,
            WorkTime workTime,
            Statement statement,
            Choice choice,
            long seed) {
        this.workTime = workTime;
        this.statement = statement;
        this.choice = choice;
        this.random = new SplittableRandom(seed);
        this.running = new int[upstreams];
        this.workBySecond = new double[seconds][upstreams];
        for (int node = 0; node < nodeCount; node++) {
            ServingFixture fixture = new ServingFixture(random.nextLong(), SLOTS);
            IntStream.range(0, upstreams)
                    .forEach(id ->
                            fixture.add("u" + id, ServingFixture.PLAIN, ServingFixture.LOCAL_DOMAIN, EngineStage.ANY));
            nodes.add(fixture);
        }
        IntStream.range(0, upstreams).forEach(id -> queues.add(new ArrayDeque<>()));
    }

    /** Chooses by the placer. */
    static int byPlacer(ServingFixture node, long nowMillis) {
        Upstream target = node.place(ServingFixture.request("q", ROUTE, List.of()), nowMillis)
                .orElseThrow()
                .target();
        return Integer.parseInt(target.id().value().substring(1));
    }

    PlacementSimulation run(double requestsPerSecond) {
        double now = 0;
        long nextTick = TICK_MILLIS;
        while (true) {
            now += -Math.log(1 - random.nextDouble()) * 1_000 / requestsPerSecond;
            if (now >= workBySecond.length * 1_000.0) {
                return this;
            }
            while (!ends.isEmpty() && ends.peek().endAt <= now) {
                onEnd(ends.remove());
            }
            while (nextTick <= now) {
                gossip(nextTick);
                nextTick += TICK_MILLIS;
            }
            send((long) now);
        }
    }

    private void send(long now) {
        Job job = new Job();
        job.node = nodes.get(random.nextInt(nodes.size()));
        job.upstream = choice.choose(job.node, now);
        job.target = job.node.upstream("u" + job.upstream);
        job.work = job.target.workOf(EngineStage.ANY, 0, true, now);
        job.target.onSend(0, now);
        job.sentAt = now;
        job.sizeMillis = WORK_MILLIS * (0.5 + random.nextDouble());
        workBySecond[(int) (now / 1_000)][job.upstream] += job.sizeMillis;
        if (running[job.upstream] < SLOTS) {
            start(job, now);
        } else {
            queues.get(job.upstream).addLast(job);
        }
    }

    private void start(Job job, double now) {
        running[job.upstream]++;
        job.endAt = now + job.sizeMillis * workTime.factor(job.upstream, running[job.upstream], (long) now);
        ends.add(job);
    }

    private void onEnd(Job job) {
        long now = (long) job.endAt;
        running[job.upstream]--;
        if (!queues.get(job.upstream).isEmpty()) {
            start(queues.get(job.upstream).removeFirst(), job.endAt);
        }
        latenciesMillis.add(job.endAt - job.sentAt);
        job.target.onLoad(running[job.upstream], queues.get(job.upstream).size(), now);
        job.target.performance().onStated(statement.percent(job.upstream, now), now);
        job.target.onFirstResponsePart(0, now);
        job.target.onEnd();
        job.node.responseTimes.onFirstPart(job.target, job.work, now - job.sentAt, now);
    }

    private void gossip(long now) {
        long tick = now / TICK_MILLIS;
        int roundTicks = 1 + (nodes.size() - 1) / PEERS_PER_TICK;
        for (int sender = 0; sender < nodes.size(); sender++) {
            List<PerformanceReport> reports = nodes.get(sender).samples.nextReports(roundTicks);
            int first = (int) Math.floorMod(tick + sender, (long) roundTicks);
            for (int peer = first; peer < nodes.size() && !reports.isEmpty(); peer += roundTicks) {
                for (PerformanceReport report : peer == sender ? List.<PerformanceReport>of() : reports) {
                    nodes.get(peer)
                            .upstream(report.upstream().upstream().value())
                            .performance()
                            .onPeerSamples(report.samples(), report.sumOfLogarithms(), now);
                }
            }
        }
    }

    /** Returns the share of the work that each upstream got from a second on. */
    double[] shares(int fromSecond, int toSecond) {
        double[] shares = new double[running.length];
        for (int second = fromSecond; second < toSecond; second++) {
            for (int id = 0; id < shares.length; id++) {
                shares[id] += workBySecond[second][id];
            }
        }
        double sum = Arrays.stream(shares).sum();
        return Arrays.stream(shares).map(share -> share / sum).toArray();
    }

    double averageLatencyMillis() {
        return latenciesMillis.stream()
                .mapToDouble(Double::doubleValue)
                .average()
                .orElseThrow();
    }
}
