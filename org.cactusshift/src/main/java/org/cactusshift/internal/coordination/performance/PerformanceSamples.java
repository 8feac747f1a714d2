package org.cactusshift.internal.coordination.performance;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cactusshift.internal.coordination.limits.UpstreamIncarnation;

/**
 * Holds this node's recent samples until each peer has got them.
 *
 * <p>Each peer gets one message in a round, so a message holds the samples of the last round, and no state per peer is
 * needed. Not thread-safe.
 */
public final class PerformanceSamples {
    private static final int MAXIMUM_REPORTS = 8;

    /** Bound for the encoded reports of one message, of the 320 bytes that the field may take with its name. */
    private static final int MAXIMUM_ENCODED_BYTES = 300;

    /** Encoded bytes of a report besides the id: start time, count, sum, quotes, brackets and commas. */
    private static final int FIXED_ENCODED_BYTES = 34;

    /** Bound for the held samples: 20 s of a node that gets 200 responses per second. */
    private static final int MAXIMUM_SAMPLES = 4_096;

    private final ArrayDeque<Sample> samples = new ArrayDeque<>();
    private final long maximumTicks;
    private long tick;

    private record Sample(UpstreamIncarnation upstream, double logarithm, long tick) {}

    private PerformanceSamples(long maximumTicks) {
        this.maximumTicks = maximumTicks;
    }

    /**
     * Returns a holder without samples.
     *
     * @param tickMillis the interval of the calls of {@link #nextReports}
     * @return the holder
     */
    public static PerformanceSamples create(long tickMillis) {
        // A receiver takes samples for new ones, so that older ones would be taken for more than they say.
        return new PerformanceSamples(Math.max(1, UpstreamPerformance.HALF_LIFE_MILLIS / tickMillis));
    }

    /**
     * Adds a sample.
     *
     * @param upstream the upstream
     * @param relativeTime as for {@link UpstreamPerformance#onResponse}
     */
    public void add(UpstreamIncarnation upstream, double relativeTime) {
        if (!(relativeTime > 0) || !Double.isFinite(relativeTime)) {
            return;
        }
        if (samples.size() == MAXIMUM_SAMPLES) {
            samples.removeFirst();
        }
        samples.addLast(new Sample(upstream, UpstreamPerformance.boundedLogarithm(relativeTime), tick));
    }

    /**
     * Returns the reports for the peers that get a message in this tick; called once in each tick.
     *
     * @param roundTicks the number of ticks between two messages to a peer
     * @return the reports about the upstreams with the most samples
     */
    public List<PerformanceReport> nextReports(long roundTicks) {
        tick++;
        long first = tick - Math.min(roundTicks, maximumTicks);
        while (!samples.isEmpty() && samples.peekFirst().tick() < first) {
            samples.removeFirst();
        }
        if (samples.isEmpty()) {
            return List.of();
        }
        Map<UpstreamIncarnation, PerformanceReport> reportByUpstream = new HashMap<>();
        for (Sample sample : samples) {
            reportByUpstream.merge(
                    sample.upstream(),
                    new PerformanceReport(sample.upstream(), 1, sample.logarithm()),
                    PerformanceSamples::sum);
        }
        List<PerformanceReport> reports = new ArrayList<>(reportByUpstream.values());
        reports.sort(Comparator.comparingInt(PerformanceReport::samples).reversed());
        int bytes = 0;
        int count = 0;
        while (count < Math.min(reports.size(), MAXIMUM_REPORTS)) {
            bytes += FIXED_ENCODED_BYTES
                    + reports.get(count).upstream().upstream().value().length();
            if (bytes > MAXIMUM_ENCODED_BYTES) {
                break;
            }
            count++;
        }
        return List.copyOf(reports.subList(0, count));
    }

    private static PerformanceReport sum(PerformanceReport one, PerformanceReport other) {
        return new PerformanceReport(
                one.upstream(), one.samples() + other.samples(), one.sumOfLogarithms() + other.sumOfLogarithms());
    }
}
