package org.cactusshift.internal.coordination.serving;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.limits.UpstreamIncarnation;
import org.cactusshift.internal.coordination.performance.SentRequests;
import org.cactusshift.internal.coordination.performance.SustainableLoad;
import org.cactusshift.internal.coordination.performance.UpstreamPerformance;
import org.cactusshift.internal.coordination.routing.UpstreamHealth;

/**
 * The state that a node tracks for one incarnation of an upstream: its entry, its open work, its performance and its
 * recent failures.
 *
 * <p>Used by the relay; its counterpart in the dispatcher is
 * {@link org.cactusshift.internal.coordination.routing.UpstreamState}. Owned by an {@link UpstreamDirectory}; not
 * thread-safe.
 */
public final class Upstream {
    /** The weight of the newest attempt in the failure rate, which reflects about the last ten attempts. */
    private static final double SAMPLE_WEIGHT = 0.1;

    private static final double FAILURE_HALF_LIFE_MILLIS = 5_000;

    /** How long a load reported by the upstream is used; engines respond, and so report, several times a second. */
    private static final long REPORTED_LOAD_VALID_MILLIS = 1_000;

    /** How long an upstream receives no requests after a first refusal; long enough for a full queue to free a slot. */
    private static final long FIRST_REFUSAL_PAUSE_MILLIS = 100;

    /** The pause after a refusal doubles at most this many times, up to 1,600 ms. */
    private static final int MAXIMUM_PAUSE_DOUBLINGS = 4;

    /**
     * How long an announced change of stage keeps requests away: the announcement, an order and one repetition of it.
     * It ends, as the holder of the duty may have been lost before it sent the order.
     */
    public static final long STAGE_CHANGE_LIMIT_MILLIS = 15_000;

    /** Upper bound for one sample of relative latency, so that a single delayed response has limited effect. */
    private static final double MAXIMUM_RELATIVE_LATENCY = 10;

    private final UpstreamHealth health = UpstreamHealth.create();
    private final PrefixCacheEstimator prefixCache;
    private UpstreamEntry entry;
    private int openRequests;
    private long pendingPrefillTokens;
    private int requestsAwaitingFirstPart;
    private long lastProgressMillis;
    private long heldTokens;
    private int remoteRequests;
    private long remoteHeldTokens;
    private long remotePendingPrefillTokens;
    private int reportedRequests;
    /** Initially far in the past; halved so that its difference to the current time does not overflow. */
    private long reportedAtMillis = Long.MIN_VALUE / 2;

    /** The failure rate at the time of the last failure, reduced by the successes since then. */
    /**
     * The moving average of actual over expected latency, by which engines are placed: their learned performance moved
     * requests away from the engines that had the parts of their prompts cached.
     */
    private double averageRelativeLatency = 1;

    private double failureRate;

    private long failedAtMillis;
    private boolean leaving;
    private Optional<EngineStage> announcedStage = Optional.empty();
    private long stageAnnouncedAtMillis;
    private int consecutiveRefusals;
    private long pausedUntilMillis = Long.MIN_VALUE;
    private final UpstreamRest rest = new UpstreamRest();
    private final UpstreamPerformance performance;
    private final SustainableLoad sustainableLoad = SustainableLoad.create();
    private final SentRequests sentRequests = SentRequests.none();

    Upstream(UpstreamEntry entry, long kvCapacityTokens) {
        this.entry = entry;
        this.performance =
                entry.stage() == EngineStage.ANY ? UpstreamPerformance.create() : UpstreamPerformance.ofEngine();
        this.leaving = entry.leaving();
        this.prefixCache = new PrefixCacheEstimator(kvCapacityTokens);
    }

    /**
     * Returns the current directory entry.
     *
     * @return the entry
     */
    public UpstreamEntry entry() {
        return entry;
    }

    /**
     * Returns the id of the upstream.
     *
     * @return the id
     */
    public UpstreamId id() {
        return entry.id();
    }

    /**
     * Returns the incarnation of the upstream that this state is about.
     *
     * @return the incarnation
     */
    public UpstreamIncarnation incarnation() {
        return new UpstreamIncarnation(entry.id(), entry.startedAtEpochMillis());
    }

    /**
     * Returns the stage whose prefill speed applies to this upstream: an engine without a stage prefills as fast as a
     * prefill engine.
     *
     * @return the stage
     */
    public EngineStage prefillStage() {
        return entry.stage() == EngineStage.DECODE ? EngineStage.DECODE : EngineStage.PREFILL;
    }

    /** Updates the entry within the same incarnation; an upstream that was leaving stays so. */
    void update(UpstreamEntry newEntry) {
        entry = newEntry;
        leaving |= newEntry.leaving();
    }

    /** Records that the upstream leaves, so that it accepts no new requests in this incarnation. */
    public void markLeaving() {
        leaving = true;
    }

    /**
     * Returns for how long the upstream has asked this node to send it nothing.
     *
     * @return the rest
     */
    public UpstreamRest rest() {
        return rest;
    }

    /**
     * Returns whether the upstream accepts no new requests.
     *
     * @return whether it is leaving, was removed from the directory or was replaced by a new incarnation
     */
    public boolean isLeaving() {
        return leaving;
    }

    /** Sets the stage to which the upstream is about to change, empty when no change is announced. */
    void announceStage(Optional<EngineStage> stage, long nowMillis) {
        if (!stage.equals(announcedStage)) {
            announcedStage = stage;
            stageAnnouncedAtMillis = nowMillis;
        }
    }

    /**
     * Returns whether the upstream is about to change its stage, and refuses requests until it has done so.
     *
     * @param nowMillis the current time
     * @return whether a change is announced and not complete
     */
    public boolean isChangingStage(long nowMillis) {
        return announcedStage.isPresent()
                && announcedStage.get() != entry.stage()
                && nowMillis - stageAnnouncedAtMillis < STAGE_CHANGE_LIMIT_MILLIS;
    }

    /**
     * Records a request that is about to be sent.
     *
     * @param uncachedTokens the prompt tokens that the upstream has to prefill
     * @param nowMillis the current time
     */
    public void onSend(long uncachedTokens, long nowMillis) {
        if (health.state(nowMillis) == UpstreamHealth.State.PROBE_DUE) {
            health.onProbe();
        }
        openRequests++;
        pendingPrefillTokens += uncachedTokens;
        if (requestsAwaitingFirstPart == 0) {
            lastProgressMillis = nowMillis;
        }
        requestsAwaitingFirstPart++;
        sentRequests.onSend(nowMillis);
    }

    /**
     * Describes a request that is about to be sent, and the work of others before it.
     *
     * @param stage as for {@link LatencyEstimator#firstPartMillis}
     * @param uncachedTokens the prompt tokens that the upstream has to prefill
     * @param isPlain whether it is a request to a plain service
     * @param nowMillis the current time
     * @return the work
     */
    public SentWork workOf(EngineStage stage, long uncachedTokens, boolean isPlain, long nowMillis) {
        return new SentWork(
                stage,
                uncachedTokens,
                totalPendingPrefillTokens() + uncachedTokens,
                SentWork.relativeQueueLength(totalRequests(nowMillis), entry.slots()),
                loadRange(nowMillis),
                isPlain);
    }

    /**
     * Returns the estimate of how long work takes at the upstream.
     *
     * @return the estimate
     */
    public UpstreamPerformance performance() {
        return performance;
    }

    /**
     * Returns what is known of how many slots the upstream can use without slowing down.
     *
     * @return the sustainable load
     */
    public SustainableLoad sustainableLoad() {
        return sustainableLoad;
    }

    /** Returns the range of the load with one more request. */
    private int loadRange(long nowMillis) {
        return SustainableLoad.range(totalRequests(nowMillis) + 1, entry.slots());
    }

    /** Returns the number of slots that placement uses. */
    int usableSlots(long nowMillis) {
        return sustainableLoad.usableSlots(entry.slots(), nowMillis);
    }

    /** Returns the number of requests that this node has sent lately, weighted by their age. */
    double recentRequests(long nowMillis) {
        return sentRequests.weighted(nowMillis);
    }

    /**
     * Records that the first part of a response arrived; also called when none will arrive.
     *
     * @param uncachedTokens the same value as passed to {@link #onSend}
     * @param nowMillis the current time
     */
    public void onFirstResponsePart(long uncachedTokens, long nowMillis) {
        pendingPrefillTokens = Math.max(0, pendingPrefillTokens - uncachedTokens);
        requestsAwaitingFirstPart = Math.max(0, requestsAwaitingFirstPart - 1);
        lastProgressMillis = nowMillis;
    }

    /**
     * Records that the upstream sent bytes for any request of this node.
     *
     * @param nowMillis the current time
     */
    public void onProgress(long nowMillis) {
        lastProgressMillis = nowMillis;
    }

    /**
     * Records that the upstream has prefilled a prompt, so that it has the parts cached.
     *
     * @param prompt the parts of the prompt
     * @param nodeCount the number of live nodes of the site
     */
    public void onPrefilled(List<PromptPart> prompt, int nodeCount) {
        prefixCache.onPrefilled(prompt, nodeCount);
    }

    /** Records the end of a request, whatever its outcome. */
    public void onEnd() {
        openRequests = Math.max(0, openRequests - 1);
    }

    /**
     * Records a complete response that is not a failure.
     *
     * @param sentAtMillis when the request was sent
     */
    public void onSuccess(long sentAtMillis) {
        health.onSuccess(sentAtMillis);
        rest.onSuccess(sentAtMillis);
        consecutiveRefusals = 0;
        failureRate -= SAMPLE_WEIGHT * failureRate;
    }

    /** Records the time to the first part of a response relative to the estimate for the same work. */
    void onRelativeLatency(double relativeLatency) {
        averageRelativeLatency +=
                SAMPLE_WEIGHT * (Math.min(relativeLatency, MAXIMUM_RELATIVE_LATENCY) - averageRelativeLatency);
    }

    /** Returns the moving average of actual over expected latency; 1 is as expected. */
    double averageRelativeLatency() {
        return averageRelativeLatency;
    }

    /**
     * Records that the upstream refused a request; it receives no requests for a time that doubles with each further
     * refusal.
     *
     * @param mayBeBusy whether its load may be the cause
     * @param nowMillis the current time
     */
    public void onRefused(boolean mayBeBusy, long nowMillis) {
        health.onInconclusiveProbe(nowMillis);
        if (mayBeBusy && !isChangingStage(nowMillis)) {
            sustainableLoad.onRefused(loadRange(nowMillis), nowMillis);
        }
        pausedUntilMillis =
                nowMillis + (FIRST_REFUSAL_PAUSE_MILLIS << Math.min(consecutiveRefusals, MAXIMUM_PAUSE_DOUBLINGS));
        consecutiveRefusals++;
    }

    boolean isPausedAfterRefusal(long nowMillis) {
        return nowMillis < pausedUntilMillis;
    }

    /**
     * Counts a failed attempt in the failure rate; does not exclude the upstream from new requests.
     *
     * @param nowMillis the current time
     */
    public void onFailedAttempt(long nowMillis) {
        double before = failureRate(nowMillis);
        failureRate = before + SAMPLE_WEIGHT * (1 - before);
        failedAtMillis = nowMillis;
    }

    /**
     * Records that the upstream was unreachable or unresponsive; it receives no requests for a back-off time.
     *
     * @param nowMillis the current time
     * @param random the source of the jitter
     */
    public void onUnreachable(long nowMillis, RandomGenerator random) {
        health.onFailure(nowMillis, random);
        onFailedAttempt(nowMillis);
    }

    /**
     * Records that a request ended without evidence about the health of the upstream.
     *
     * @param nowMillis the current time
     */
    public void onInconclusiveEnd(long nowMillis) {
        health.onInconclusiveProbe(nowMillis);
    }

    /**
     * Records the load that the upstream reported.
     *
     * @param running the number of running requests
     * @param waiting the number of queued requests
     * @param nowMillis the current time
     */
    public void onLoad(int running, int waiting, long nowMillis) {
        reportedRequests = running + waiting;
        reportedAtMillis = nowMillis;
    }

    /** Sets the open requests of other nodes. */
    void setRemoteWork(OpenWork work) {
        remoteRequests = work.requests();
        remotePendingPrefillTokens = work.pendingPrefillTokens();
        remoteHeldTokens = work.heldTokens();
    }

    /**
     * Records that a request of this node takes memory at the engine.
     *
     * @param tokens its tokens
     */
    public void hold(long tokens) {
        heldTokens += tokens;
    }

    /**
     * Records that a request of this node takes no memory any more.
     *
     * @param tokens the same value as passed to {@link #hold}
     */
    public void release(long tokens) {
        heldTokens = Math.max(0, heldTokens - tokens);
    }

    /**
     * Returns the tokens for which requests of this node take or reserve memory.
     *
     * @return the tokens
     */
    public long heldTokens() {
        return heldTokens;
    }

    /**
     * Returns the open requests of this node.
     *
     * @return the requests
     */
    public OpenWork openWork() {
        return new OpenWork(openRequests, pendingPrefillTokens, heldTokens);
    }

    /** Returns whether the memory of the engine suffices for further tokens, as far as known to this node. */
    boolean hasMemoryFor(long tokens, long capacityTokens) {
        return capacityTokens <= 0 || heldTokens + remoteHeldTokens + tokens <= capacityTokens;
    }

    /**
     * Returns the number of open requests of this node at the upstream.
     *
     * @return the number of requests
     */
    public int openRequests() {
        return openRequests;
    }

    /**
     * Returns the pending prefill tokens of this node's requests.
     *
     * @return the number of tokens
     */
    public long pendingPrefillTokens() {
        return pendingPrefillTokens;
    }

    /**
     * Returns the pending prefill tokens of the requests of all nodes, as far as known to this node.
     *
     * @return the number of tokens
     */
    public long totalPendingPrefillTokens() {
        return pendingPrefillTokens + remotePendingPrefillTokens;
    }

    /** Returns the estimated number of requests of all nodes at the upstream. */
    int totalRequests(long nowMillis) {
        int ownAndRemote = openRequests + remoteRequests;
        return nowMillis - reportedAtMillis <= REPORTED_LOAD_VALID_MILLIS
                ? Math.max(ownAndRemote, reportedRequests)
                : ownAndRemote;
    }

    void onRemotePartUse(PromptPart part) {
        prefixCache.onUse(part);
    }

    boolean caches(PromptPart part) {
        return prefixCache.isCached(part);
    }

    int cachedTokens(List<PromptPart> prompt) {
        return prefixCache.cachedTokens(prompt);
    }

    /**
     * Returns the moving average of the fraction of failed attempts, 0 to 1. It halves in some seconds, since an
     * upstream that is avoided for its failures would otherwise have no successes to reduce it.
     */
    double failureRate(long nowMillis) {
        return failureRate == 0
                ? 0
                : failureRate * Math.pow(2, (failedAtMillis - nowMillis) / FAILURE_HALF_LIFE_MILLIS);
    }

    /**
     * Returns whether no failure of the upstream is known from which it has not recovered.
     *
     * @param nowMillis the current time
     * @return whether any request may be sent to it
     */
    public boolean isUp(long nowMillis) {
        return health.state(nowMillis) == UpstreamHealth.State.UP;
    }

    UpstreamHealth.State healthState(long nowMillis) {
        return health.state(nowMillis);
    }

    /**
     * Returns how long requests have been waiting for the first part of a response without any progress of the
     * upstream.
     *
     * @param nowMillis the current time
     * @return the time in milliseconds, 0 when no request waits for one
     */
    public long millisSinceProgress(long nowMillis) {
        return requestsAwaitingFirstPart == 0 ? 0 : nowMillis - lastProgressMillis;
    }
}
