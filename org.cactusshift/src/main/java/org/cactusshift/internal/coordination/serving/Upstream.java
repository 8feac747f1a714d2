package org.cactusshift.internal.coordination.serving;

import java.util.List;
import java.util.random.RandomGenerator;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.routing.UpstreamHealth;

/**
 * What a node knows of one start of an upstream: its entry, the work there, and how its answers fared.
 *
 * <p>Owned by an {@link UpstreamDirectory}; not thread-safe.
 */
public final class Upstream {
    /** The weight of the newest sample in the moving averages; about the last ten answers count. */
    private static final double SAMPLE_WEIGHT = 0.1;

    /** Within this time a load that the upstream told is still believed; engines answer several times a second. */
    private static final long LOAD_BELIEVED_MILLIS = 1_000;

    /** After a refusal an upstream is left alone for this long; a full queue moves on in less. */
    private static final long FIRST_REFUSAL_MILLIS = 100;

    private static final int MAXIMUM_DOUBLINGS = 4;

    /** One answer that was held up tells no more than this. */
    private static final double LARGEST_PACE = 10;

    private final UpstreamHealth health = UpstreamHealth.create();
    private final PrefixCacheEstimator keptParts;
    private UpstreamEntry entry;
    private int openRequests;
    private long unreadTokens;
    private int unheardRequests;
    private long unheardSinceMillis;
    private int remoteRequests;
    private long remoteUnreadTokens;
    private int toldRequests;
    private long toldAtMillis = Long.MIN_VALUE / 2;
    private double failureShare;
    private double slowness = 1;
    private boolean leaving;
    private int refusals;
    private long refusedUntilMillis = Long.MIN_VALUE;

    Upstream(UpstreamEntry entry, long kvCapacityTokens) {
        this.entry = entry;
        this.leaving = entry.leaving();
        this.keptParts = new PrefixCacheEstimator(kvCapacityTokens);
    }

    /**
     * Returns the newest entry.
     *
     * @return the entry
     */
    public UpstreamEntry entry() {
        return entry;
    }

    /**
     * Returns the id.
     *
     * @return the id
     */
    public UpstreamId id() {
        return entry.id();
    }

    /**
     * Returns at which pace a prompt is read here: an engine of no stage reads as fast as one that only reads.
     *
     * @return the stage whose pace applies
     */
    public EngineStage prefillStage() {
        return entry.stage() == EngineStage.DECODE ? EngineStage.DECODE : EngineStage.PREFILL;
    }

    /** Takes a changed entry of the same start; a leave that was seen is never taken back. */
    void update(UpstreamEntry newEntry) {
        entry = newEntry;
        leaving |= newEntry.leaving();
    }

    void leave() {
        leaving = true;
    }

    /**
     * Returns whether the upstream takes no new work.
     *
     * @return whether it is leaving or gone
     */
    public boolean isLeaving() {
        return leaving;
    }

    /**
     * Notes a request that is about to be sent.
     *
     * @param freshTokens the tokens that the upstream has to read
     * @param nowMillis the present time
     */
    public void onSent(long freshTokens, long nowMillis) {
        if (health.state(nowMillis) == UpstreamHealth.State.PROBE_DUE) {
            health.onProbe();
        }
        openRequests++;
        unreadTokens += freshTokens;
        if (unheardRequests == 0) {
            unheardSinceMillis = nowMillis;
        }
        unheardRequests++;
    }

    /**
     * Notes that the first part of an answer came, or that none will come.
     *
     * @param freshTokens what {@link #onSent} was given
     * @param nowMillis the present time
     */
    public void onFirstAnswer(long freshTokens, long nowMillis) {
        unreadTokens = Math.max(0, unreadTokens - freshTokens);
        unheardRequests = Math.max(0, unheardRequests - 1);
        unheardSinceMillis = nowMillis;
    }

    /**
     * Notes that bytes came, of any request of this node.
     *
     * @param nowMillis the present time
     */
    public void onProgress(long nowMillis) {
        unheardSinceMillis = nowMillis;
    }

    /**
     * Notes that the upstream has read a prompt, so that it keeps its parts.
     *
     * @param prompt the parts of the prompt
     * @param nodes the live nodes of the site
     */
    public void onPrefilled(List<PromptPart> prompt, int nodes) {
        keptParts.onPrefilled(prompt, nodes);
    }

    /** Notes the end of a request in any way. */
    public void onDone() {
        openRequests = Math.max(0, openRequests - 1);
    }

    /**
     * Notes a whole answer that is no failure.
     *
     * @param sentAtMillis when the request was sent
     */
    public void onSuccess(long sentAtMillis) {
        health.onSuccess(sentAtMillis);
        refusals = 0;
        failureShare -= SAMPLE_WEIGHT * failureShare;
    }

    /**
     * Notes how long a first answer took compared with other upstreams under the same work.
     *
     * @param relativeTime the time that it took over the time that is usual, above 0
     */
    public void onRelativeLatency(double relativeTime) {
        slowness += SAMPLE_WEIGHT * (Math.min(relativeTime, LARGEST_PACE) - slowness);
    }

    /**
     * Notes that the upstream turned a request away; it is left alone for a while that doubles with each refusal.
     *
     * @param nowMillis the present time
     */
    public void onRefused(long nowMillis) {
        health.onInconclusiveProbe(nowMillis);
        refusedUntilMillis = nowMillis + (FIRST_REFUSAL_MILLIS << Math.min(refusals, MAXIMUM_DOUBLINGS));
        refusals++;
    }

    boolean isRefusing(long nowMillis) {
        return nowMillis < refusedUntilMillis;
    }

    /** Notes an answer that tells of a failure, or an answer that broke off. */
    public void onFailedAnswer() {
        failureShare += SAMPLE_WEIGHT * (1 - failureShare);
    }

    /**
     * Notes that the upstream could not be reached or fell silent; it takes nothing for a while.
     *
     * @param nowMillis the present time
     * @param random the source of the jitter
     */
    public void onUnreachable(long nowMillis, RandomGenerator random) {
        health.onFailure(nowMillis, random);
        onFailedAnswer();
    }

    /**
     * Notes that a request ended without telling anything of the upstream.
     *
     * @param nowMillis the present time
     */
    public void onInconclusiveEnd(long nowMillis) {
        health.onInconclusiveProbe(nowMillis);
    }

    /**
     * Takes the load that the upstream told.
     *
     * @param running requests that run
     * @param waiting requests that wait
     * @param nowMillis the present time
     */
    public void onLoad(int running, int waiting, long nowMillis) {
        toldRequests = running + waiting;
        toldAtMillis = nowMillis;
    }

    void setRemoteWork(int requests, long tokens) {
        remoteRequests = requests;
        remoteUnreadTokens = tokens;
    }

    /**
     * Returns the requests of this node that are there.
     *
     * @return the number of requests
     */
    public int openRequests() {
        return openRequests;
    }

    /**
     * Returns the prompt tokens that this node's requests still wait for.
     *
     * @return tokens
     */
    public long pendingPrefillTokens() {
        return unreadTokens;
    }

    /**
     * Returns the prompt tokens that all nodes' requests wait for, as far as this node knows.
     *
     * @return tokens
     */
    public long totalPendingPrefillTokens() {
        return unreadTokens + remoteUnreadTokens;
    }

    /** Returns the best guess of all requests there, of all nodes. */
    int allRequests(long nowMillis) {
        int known = openRequests + remoteRequests;
        return nowMillis - toldAtMillis <= LOAD_BELIEVED_MILLIS ? Math.max(known, toldRequests) : known;
    }

    void onRemotePartUse(PromptPart part) {
        keptParts.onUse(part);
    }

    boolean caches(PromptPart part) {
        return keptParts.isCached(part);
    }

    int cachedTokens(List<PromptPart> prompt) {
        return keptParts.cachedTokens(prompt);
    }

    double failureShare() {
        return failureShare;
    }

    /** Returns how much longer answers take than expected; 1 is as expected. */
    double slowness() {
        return slowness;
    }

    UpstreamHealth.State health(long nowMillis) {
        return health.state(nowMillis);
    }

    /**
     * Returns for how long requests have waited here without hearing anything.
     *
     * @param nowMillis the present time
     * @return the time, 0 when no request waits for a first answer
     */
    public long millisSinceProgress(long nowMillis) {
        return unheardRequests == 0 ? 0 : nowMillis - unheardSinceMillis;
    }
}
