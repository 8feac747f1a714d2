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
 * What one node knows of one upstream: its last load report, brought up to date by what the node itself sent since.
 *
 * <p>Reports lag. The backlog is therefore carried forward: it drains at the measured rate as time passes and grows by
 * each request that this node sends; a new report replaces it, after which the requests sent since the report was
 * measured are added again.
 */
public final class UpstreamState {
    /** Tokens of one piece of KV cache. */
    public static final int BLOCK_TOKENS = 2_048;

    private static final long SEND_MEMORY_MILLIS = 30_000;
    private static final long REFUSAL_PAUSE_MILLIS = 250;
    private static final long SLACK_PERIOD_MILLIS = 100;
    private static final double FASTEST_MEMORY = 0.98;

    private final UpstreamHealth health = UpstreamHealth.create();
    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private UpstreamConfig config;
    private Optional<EngineLoad> load = Optional.empty();
    private boolean leaving;
    private double position;
    private int inFlight;
    private double backlogTokens;
    private long backlogAtMillis;
    private int usedPieces;
    private int requests;
    private long pausedUntilMillis = Long.MIN_VALUE;
    private final Set<OutputDeadline> promises = new LinkedHashSet<>();
    private double leastSlackMillis;
    private long slackAtMillis = -SLACK_PERIOD_MILLIS;
    private double fastestDecodeTokensPerSecond;
    private double remoteTokensPerSecond;

    private UpstreamState(UpstreamConfig config) {
        this.config = Objects.requireNonNull(config, "config");
    }

    private record Change(long atMillis, long prefillTokens, int pieces, int requests) {}

    /**
     * Returns the state of an upstream that nothing is known of.
     *
     * @param config the declaration
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
     * Returns the declaration.
     *
     * @return the declaration in force
     */
    public UpstreamConfig config() {
        return config;
    }

    /**
     * Takes a newer declaration.
     *
     * @param newConfig the declaration
     */
    public void setConfig(UpstreamConfig newConfig) {
        config = Objects.requireNonNull(newConfig, "newConfig");
    }

    /**
     * Marks the upstream as leaving, or as back.
     *
     * @param isLeaving whether it takes no new work
     */
    public void setLeaving(boolean isLeaving) {
        leaving = isLeaving;
    }

    /**
     * Sets the place in the fleet.
     *
     * @param newPlace from 0 for the first upstream of the declaration to below 1
     */
    void setPosition(double newPlace) {
        position = newPlace;
    }

    /**
     * Returns the place in the fleet, the same at all nodes.
     *
     * @return from 0 for the first upstream of the declaration to below 1
     */
    double position() {
        return position;
    }

    /**
     * Returns the health.
     *
     * @return the health
     */
    public UpstreamHealth health() {
        return health;
    }

    /**
     * Returns the last report.
     *
     * @return the report, or empty when the upstream has not reported
     */
    public Optional<EngineLoad> load() {
        return load;
    }

    /**
     * Returns the role that the engine is in.
     *
     * @return the reported role, or the declared one before the first report
     */
    public UpstreamConfig.Role role() {
        return load.map(EngineLoad::role).orElse(config.role());
    }

    /**
     * Returns the attempts of this node that are at the upstream.
     *
     * @return the number of attempts
     */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Tells whether the upstream is neither leaving nor out of service for a change.
     *
     * @return whether new work may go there as far as orders and operators are concerned
     */
    public boolean isOpen() {
        return !leaving
                && !config.draining()
                && !(load.isPresent() && load.get().changing());
    }

    /**
     * Tells whether the upstream takes a request now, full or not.
     *
     * @param repeatable whether the request may be sent again, which a probe needs
     * @param nowMillis the present time
     * @return whether it takes the request
     */
    public boolean accepts(boolean repeatable, long nowMillis) {
        if (!isOpen() || nowMillis < pausedUntilMillis) {
            return false;
        }
        UpstreamHealth.State state = health.state(nowMillis);
        return state == UpstreamHealth.State.UP || (state == UpstreamHealth.State.PROBE_DUE && repeatable);
    }

    /**
     * Returns the prompt tokens that wait before a request sent now.
     *
     * @param nowMillis the present time
     * @return the estimated tokens
     */
    public double backlogTokens(long nowMillis) {
        double netPerSecond = prefillTokensPerSecond() - remoteTokensPerSecond;
        double drained = Math.max(0, netPerSecond) * (nowMillis - backlogAtMillis) / 1_000;
        return Math.max(0, backlogTokens - drained);
    }

    /**
     * Returns the KV cache pieces that are free.
     *
     * @return the estimated pieces; {@link Integer#MAX_VALUE} when the upstream has none or does not report
     */
    public int freeBlocks() {
        int totalPieces = load.map(EngineLoad::totalBlocks).orElse(0);
        return totalPieces <= 0 ? Integer.MAX_VALUE : Math.max(0, totalPieces - usedPieces);
    }

    /**
     * Returns the requests that the upstream holds, from all nodes as far as known.
     *
     * @return the estimated requests, running and waiting
     */
    public int requests() {
        return Math.max(requests, inFlight);
    }

    /**
     * Returns the rate of prompt processing.
     *
     * @return tokens a second, or 0 when unknown
     */
    public double prefillTokensPerSecond() {
        return load.isPresent() ? load.get().prefillTokensPerSecond() : 0;
    }

    /**
     * Returns the rate at which one sequence is generated.
     *
     * @return tokens a second, or 0 when unknown
     */
    public double decodeTokensPerSecond() {
        return load.isPresent() ? load.get().decodeTokensPerSecond() : 0;
    }

    /**
     * Sets how fast other nodes send prompt tokens to this upstream, as far as known.
     *
     * @param tokensPerSecond their share of the rate of all other nodes
     */
    public void setRemoteTokensPerSecond(double tokensPerSecond) {
        remoteTokensPerSecond = tokensPerSecond;
    }

    /**
     * Returns how long the attempts of this node may be held up without one missing its deadline.
     *
     * <p>Attempts that are lost already don't count.
     *
     * @param nowMillis the present time
     * @return the least slack in milliseconds, computed anew at most every 100 ms; infinite when nothing is expected
     */
    public double leastSlackMillis(long nowMillis) {
        if (fastestDecodeTokensPerSecond <= 0) {
            return Double.POSITIVE_INFINITY;
        }
        if (nowMillis - slackAtMillis >= SLACK_PERIOD_MILLIS) {
            leastSlackMillis = promises.stream()
                    .mapToDouble(promise -> promise.slackMillis(fastestDecodeTokensPerSecond, nowMillis))
                    .filter(slackMillis -> slackMillis > 0)
                    .min()
                    .orElse(Double.POSITIVE_INFINITY);
            slackAtMillis = nowMillis;
        }
        return leastSlackMillis;
    }

    /**
     * Adds what this node expects for an attempt.
     *
     * @param promise the promise
     */
    public void add(OutputDeadline promise) {
        promises.add(promise);
        slackAtMillis = -SLACK_PERIOD_MILLIS;
    }

    /**
     * Removes what was expected for an attempt that ended.
     *
     * @param promise the promise
     */
    public void remove(OutputDeadline promise) {
        promises.remove(promise);
    }

    /**
     * Notes a request sent by this node.
     *
     * @param prefillTokens prompt tokens that are not in the cache
     * @param pieces KV cache pieces that it needs
     * @param nowMillis the present time
     */
    public void onSend(long prefillTokens, int pieces, long nowMillis) {
        inFlight++;
        apply(new Change(nowMillis, prefillTokens, pieces, 1));
    }

    /**
     * Notes the end of an attempt of this node.
     *
     * @param pieces the pieces that it held
     * @param nowMillis the present time
     */
    public void onEnd(int pieces, long nowMillis) {
        inFlight--;
        apply(new Change(nowMillis, 0, -pieces, -1));
    }

    /**
     * Notes that the upstream refused a request before running it; it gets a pause.
     *
     * @param nowMillis the present time
     */
    public void onRefused(long nowMillis) {
        pausedUntilMillis = nowMillis + REFUSAL_PAUSE_MILLIS;
    }

    private void apply(Change change) {
        changes.addLast(change);
        while (changes.peekFirst().atMillis() < change.atMillis() - SEND_MEMORY_MILLIS) {
            changes.removeFirst();
        }
        add(change);
    }

    private void add(Change change) {
        backlogTokens = backlogTokens(change.atMillis()) + change.prefillTokens();
        backlogAtMillis = change.atMillis();
        usedPieces = Math.max(0, usedPieces + change.pieces());
        requests = Math.max(0, requests + change.requests());
    }

    /**
     * Takes a load report; an older one than the last is ignored.
     *
     * @param report the report
     * @param nowMillis the present time
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
                Math.max(FASTEST_MEMORY * fastestDecodeTokensPerSecond, report.decodeTokensPerSecond());
        backlogTokens = report.queuedPrefillTokens();
        backlogAtMillis = report.measuredAtMillis();
        usedPieces = report.usedBlocks();
        requests = report.running() + report.waiting();
        changes.removeIf(change -> change.atMillis() <= report.measuredAtMillis());
        changes.forEach(this::add);
    }
}
