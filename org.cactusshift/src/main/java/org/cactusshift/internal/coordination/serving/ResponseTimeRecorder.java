package org.cactusshift.internal.coordination.serving;

import java.util.HashMap;
import java.util.Map;
import org.cactusshift.id.ServiceId;
import org.cactusshift.internal.coordination.performance.AverageRelativeTime;
import org.cactusshift.internal.coordination.performance.PerformanceSamples;

/**
 * Passes the measured time to the first part of a response to the estimates that use it: the expected time of the
 * service, and the performance of the upstream.
 *
 * <p>A sample of an upstream is its time divided by the expected time for the same work at the same load, relative to
 * the average of that over the upstreams of the service. An upstream that is merely busy does not count as slow.
 */
public final class ResponseTimeRecorder {
    /**
     * A sample is used only if the work of others takes at most as long as the request itself: what of it was still
     * ahead is known only roughly, since other nodes report their requests late.
     */
    private static final double MAXIMUM_LOAD_FACTOR = 2;

    private final LatencyEstimator latency = new LatencyEstimator();
    private final PerformanceSamples samples;
    private final Map<WorkKind, AverageRelativeTime> averageByKind = new HashMap<>();

    private ResponseTimeRecorder(PerformanceSamples samples) {
        this.samples = samples;
    }

    /**
     * Returns a recorder.
     *
     * @param samples receives the samples, to be sent to the peers
     * @return the recorder
     */
    public static ResponseTimeRecorder create(PerformanceSamples samples) {
        return new ResponseTimeRecorder(samples);
    }

    /**
     * Returns the estimate of the expected times, which follows the recorded ones as if no request had waited in a
     * queue.
     *
     * @return the estimate
     */
    public LatencyEstimator latency() {
        return latency;
    }

    /**
     * Records the first part of a response that is not an error of the upstream.
     *
     * @param upstream the upstream
     * @param work the request, as described when it was sent
     * @param tookMillis the time from sending the request to the first part of its response
     * @param nowMillis the current time
     */
    public void onFirstPart(Upstream upstream, SentWork work, long tookMillis, long nowMillis) {
        ServiceId service = upstream.entry().service();
        double queueFactor = work.isPlain() ? 1 + work.relativeQueueLength() : 1;
        double usualMillis = tookMillis / (queueFactor * upstream.performance().statedFactor(nowMillis));
        double ownMillis = latency.firstPartMillis(service, work.stage(), work.uncachedTokens());
        double expectedMillis = latency.firstPartMillis(service, work.stage(), work.pendingTokens());
        upstream.onRelativeLatency(tookMillis / Math.max(1, expectedMillis));
        // How long a request waits for the slot of an engine depends on the output of others, which is not known.
        boolean waitsForSlotOfEngine = !work.isPlain() && work.relativeQueueLength() > 0;
        if (!waitsForSlotOfEngine && queueFactor * expectedMillis <= MAXIMUM_LOAD_FACTOR * ownMillis) {
            double measured = averageOf(service, work).relate(Math.max(1, usualMillis) / Math.max(1, expectedMillis));
            upstream.sustainableLoad().onResponse(work.loadRange(), measured, nowMillis);
            double relativeTime = measured / upstream.sustainableLoad().slowdown(work.loadRange(), nowMillis);
            upstream.performance().onResponse(relativeTime, nowMillis);
            samples.add(upstream.incarnation(), relativeTime);
        }
        latency.onFirstResponsePart(
                service, work.stage(), work.pendingTokens(), work.uncachedTokens(), Math.round(usualMillis));
    }

    private AverageRelativeTime averageOf(ServiceId service, SentWork work) {
        WorkKind kind = new WorkKind(service, work.stage(), LatencyEstimator.isShort(work.uncachedTokens()));
        return averageByKind.computeIfAbsent(kind, key -> AverageRelativeTime.create());
    }

    private record WorkKind(ServiceId service, EngineStage stage, boolean isShort) {}
}
