package org.cactusshift.internal.coordination.routing;

import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.dispatch.EngineLoad;

/**
 * The state of one upstream as estimated by one node: its last load report, updated by the requests that the node sent
 * since.
 *
 * <p>Used by the dispatcher; its counterpart in the relay is
 * {@link org.cactusshift.internal.coordination.serving.Upstream}.
 *
 * <p>Reports are delayed. The backlog is therefore extrapolated: it drains at the measured rate and grows by each
 * request that this node sends. A new report replaces it, after which the requests sent since the report was measured
 * are added again.
 */
public final class UpstreamState {
    /** The number of tokens of one KV-cache block. */
    public static final int BLOCK_TOKENS = 2_048;

    /**
     * How long the load changes by this node's requests are retained, for load reports that do not include them yet.
     */
    private static final long DELTA_RETENTION_MILLIS = 30_000;

    /** How long an upstream gets no requests after a refusal. */
    private static final long REFUSAL_PAUSE_MILLIS = 250;

    /** The minimum interval between two computations of the slack, unless a deadline was added. */
    private static final long SLACK_RECOMPUTATION_INTERVAL_MILLIS = 100;

    /** The factor by which each load report lowers the highest decode rate observed before it. */
    private static final double FASTEST_RATE_DECAY_PER_REPORT = 0.98;

    private final UpstreamHealth health = UpstreamHealth.create();
    private final ArrayDeque<LoadDelta> deltas = new ArrayDeque<>();
    private UpstreamConfig config;
    private Optional<EngineLoad> load = Optional.empty();
    private boolean excluded;
    private double position;
    /** The open attempts of this node. */
    private int inFlight;
    /** The estimated backlog, for all nodes, at {@link #backlogAtMillis}. */
    private double backlogTokens;

    private long backlogAtMillis;
    /** The estimated number of KV-cache blocks that the requests of all nodes use. */
    private int usedBlocks;
    /** The estimated number of running and queued requests of all nodes. */
    private int estimatedRequests;

    private long pausedUntilMillis = Long.MIN_VALUE;
    private final Set<OutputDeadline> outputDeadlines = new LinkedHashSet<>();
    private double leastSlackMillis;
    private long slackAtMillis = -SLACK_RECOMPUTATION_INTERVAL_MILLIS;
    private double fastestDecodeTokensPerSecond;
    private double remotePrefillTokensPerSecond;

    private UpstreamState(UpstreamConfig config) {
        this.config = Objects.requireNonNull(config, "config");
    }

    private record LoadDelta(long atMillis, long prefillTokens, int blocks, int requests) {}

    /**
     * Returns the state of an upstream that has not reported.
     *
     * @param config the configuration of the upstream
     * @return the state
     */
    public static UpstreamState create(UpstreamConfig config) {
        return new UpstreamState(config);
    }

    /**
     * Returns the upstream's id.
     *
     * @return the id
     */
    public UpstreamId id() {
        return config.id();
    }

    /**
     * Returns the configuration of the upstream.
     *
     * @return the active configuration
     */
    public UpstreamConfig config() {
        return config;
    }

    /**
     * Sets a newer configuration.
     *
     * @param newConfig the configuration
     */
    public void setConfig(UpstreamConfig newConfig) {
        config = Objects.requireNonNull(newConfig, "newConfig");
    }

    /**
     * Sets whether the upstream is excluded for any cause, for example because it is leaving.
     *
     * @param isExcluded whether it gets no new attempts
     */
    public void setExcluded(boolean isExcluded) {
        excluded = isExcluded;
    }

    /**
     * Sets the position in the fleet.
     *
     * @param newPosition the position, from 0 for the first configured upstream to below 1
     */
    void setPosition(double newPosition) {
        position = newPosition;
    }

    /**
     * Returns the position in the fleet, which is the same at all nodes.
     *
     * @return the position, from 0 for the first configured upstream to below 1
     */
    double position() {
        return position;
    }

    /**
     * Returns the health of the upstream.
     *
     * @return the health
     */
    public UpstreamHealth health() {
        return health;
    }

    /**
     * Returns the last load report.
     *
     * @return the report, or empty when the upstream has not reported
     */
    public Optional<EngineLoad> load() {
        return load;
    }

    /**
     * Returns the role of the engine.
     *
     * @return the reported role, or the configured one before the first report
     */
    public UpstreamConfig.Role role() {
        return load.map(EngineLoad::role).orElse(config.role());
    }

    /**
     * Returns the number of open attempts of this node at the upstream.
     *
     * @return the number of attempts
     */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Returns whether the upstream is neither excluded, configured to drain nor out of service for a planned change.
     *
     * @return whether new requests may be sent to it, regardless of its health
     */
    public boolean isOpen() {
        return !excluded
                && !config.draining()
                && !(load.isPresent() && load.get().changing());
    }

    /**
     * Returns whether this node may send a request to the upstream now, regardless of its load.
     *
     * @param repeatable whether the request may be retried, which is required for a probe
     * @param nowMillis the current time
     * @return whether the request may be sent
     */
    public boolean accepts(boolean repeatable, long nowMillis) {
        if (!isOpen() || nowMillis < pausedUntilMillis) {
            return false;
        }
        UpstreamHealth.State state = health.state(nowMillis);
        return state == UpstreamHealth.State.UP || (state == UpstreamHealth.State.PROBE_DUE && repeatable);
    }

    /**
     * Returns the estimated number of prompt tokens that are queued ahead of a request sent now.
     *
     * @param nowMillis the current time
     * @return the number of tokens
     */
    public double backlogTokens(long nowMillis) {
        double netPerSecond = prefillTokensPerSecond() - remotePrefillTokensPerSecond;
        double drained = Math.max(0, netPerSecond) * (nowMillis - backlogAtMillis) / 1_000;
        return Math.max(0, backlogTokens - drained);
    }

    /**
     * Returns the number of free KV-cache blocks.
     *
     * @return the estimated blocks; {@link Integer#MAX_VALUE} when the upstream has no KV cache or does not report
     */
    public int freeBlocks() {
        int totalBlocks = load.map(EngineLoad::totalBlocks).orElse(0);
        return totalBlocks <= 0 ? Integer.MAX_VALUE : Math.max(0, totalBlocks - usedBlocks);
    }

    /**
     * Returns the number of requests of all nodes at the upstream, as far as known.
     *
     * @return the estimated number of running and queued requests
     */
    public int requests() {
        return Math.max(estimatedRequests, inFlight);
    }

    /**
     * Returns the prefill rate.
     *
     * @return the rate in tokens per second, or 0 when unknown
     */
    public double prefillTokensPerSecond() {
        return load.isPresent() ? load.get().prefillTokensPerSecond() : 0;
    }

    /**
     * Returns the decode rate of one sequence.
     *
     * @return the rate in tokens per second, or 0 when unknown
     */
    public double decodeTokensPerSecond() {
        return load.isPresent() ? load.get().decodeTokensPerSecond() : 0;
    }

    /**
     * Sets the estimated rate at which other nodes send prompt tokens to this upstream.
     *
     * @param tokensPerSecond the share of this upstream in the rate of all other nodes
     */
    public void setRemotePrefillTokensPerSecond(double tokensPerSecond) {
        remotePrefillTokensPerSecond = tokensPerSecond;
    }

    /**
     * Returns how long the attempts of this node may be delayed without any of them missing its deadline.
     *
     * <p>Attempts that can no longer meet their deadlines are ignored.
     *
     * @param nowMillis the current time
     * @return the minimum slack in milliseconds, recomputed at most every 100 ms; infinite when no open attempt can
     *     still meet its deadline, or when no decode rate is known
     */
    public double leastSlackMillis(long nowMillis) {
        if (fastestDecodeTokensPerSecond <= 0) {
            return Double.POSITIVE_INFINITY;
        }
        if (nowMillis - slackAtMillis >= SLACK_RECOMPUTATION_INTERVAL_MILLIS) {
            leastSlackMillis = outputDeadlines.stream()
                    .mapToDouble(deadline -> deadline.slackMillis(fastestDecodeTokensPerSecond, nowMillis))
                    .filter(slackMillis -> slackMillis > 0)
                    .min()
                    .orElse(Double.POSITIVE_INFINITY);
            slackAtMillis = nowMillis;
        }
        return leastSlackMillis;
    }

    /**
     * Adds the deadline of an attempt.
     *
     * @param deadline the deadline
     */
    public void add(OutputDeadline deadline) {
        outputDeadlines.add(deadline);
        slackAtMillis = -SLACK_RECOMPUTATION_INTERVAL_MILLIS;
    }

    /**
     * Removes the deadline of an attempt that ended.
     *
     * @param deadline the deadline
     */
    public void remove(OutputDeadline deadline) {
        outputDeadlines.remove(deadline);
    }

    /**
     * Records a request sent by this node.
     *
     * @param uncachedTokens the prompt tokens that are not in the prefix cache
     * @param blocks the KV-cache blocks that the request needs
     * @param nowMillis the current time
     */
    public void onSend(long uncachedTokens, int blocks, long nowMillis) {
        inFlight++;
        recordDelta(new LoadDelta(nowMillis, uncachedTokens, blocks, 1));
    }

    /**
     * Records the end of an attempt of this node.
     *
     * @param blocks the same value as passed to {@link #onSend}
     * @param nowMillis the current time
     */
    public void onEnd(int blocks, long nowMillis) {
        inFlight--;
        recordDelta(new LoadDelta(nowMillis, 0, -blocks, -1));
    }

    /**
     * Records that the upstream refused a request before executing it; it gets no requests for a short time.
     *
     * @param nowMillis the current time
     */
    public void onRefused(long nowMillis) {
        pausedUntilMillis = nowMillis + REFUSAL_PAUSE_MILLIS;
    }

    private void recordDelta(LoadDelta delta) {
        deltas.addLast(delta);
        while (deltas.peekFirst().atMillis() < delta.atMillis() - DELTA_RETENTION_MILLIS) {
            deltas.removeFirst();
        }
        applyDelta(delta);
    }

    private void applyDelta(LoadDelta delta) {
        backlogTokens = backlogTokens(delta.atMillis()) + delta.prefillTokens();
        backlogAtMillis = delta.atMillis();
        usedBlocks = Math.max(0, usedBlocks + delta.blocks());
        estimatedRequests = Math.max(0, estimatedRequests + delta.requests());
    }

    /**
     * Processes a load report; one that is older than the last is ignored.
     *
     * @param report the report
     * @param nowMillis the current time
     */
    public void onLoad(EngineLoad report, long nowMillis) {
        if (load.isPresent()
                && report.epoch() == load.get().epoch()
                && report.measuredAtMillis() < load.get().measuredAtMillis()) {
            return;
        }
        if (load.isPresent() && report.epoch() != load.get().epoch()) {
            health.onRestart(nowMillis);
        }
        load = Optional.of(report);
        fastestDecodeTokensPerSecond =
                Math.max(FASTEST_RATE_DECAY_PER_REPORT * fastestDecodeTokensPerSecond, report.decodeTokensPerSecond());
        backlogTokens = report.queuedPrefillTokens();
        backlogAtMillis = report.measuredAtMillis();
        usedBlocks = report.usedBlocks();
        estimatedRequests = report.running() + report.waiting();
        deltas.removeIf(delta -> delta.atMillis() <= report.measuredAtMillis());
        deltas.forEach(this::applyDelta);
    }
}
