package org.cactusshift.internal.coordination.serving;

/**
 * Decides whether an upstream has stalled while it processes a request.
 *
 * <p>A request that is queued at an upstream which makes progress with other requests is not stalled; once its response
 * has started, only its own progress counts. While the response is not read, because the caller reads slowly, the
 * upstream is not stalled.
 */
public final class StallDetector {
    private long limitMillis;
    private long lastProgressMillis;
    private boolean responseStarted;
    private boolean paused;

    private StallDetector(long limitMillis, long nowMillis) {
        this.limitMillis = limitMillis;
        this.lastProgressMillis = nowMillis;
    }

    /**
     * Returns a detector for a request that was sent now.
     *
     * @param limitMillis the time without progress after which the upstream has stalled
     * @param nowMillis the current time
     * @return the detector
     */
    public static StallDetector create(long limitMillis, long nowMillis) {
        return new StallDetector(limitMillis, nowMillis);
    }

    /**
     * Records that an event of a stream, or bytes of another response, arrived.
     *
     * @param nowMillis the current time
     */
    public void onProgress(long nowMillis) {
        lastProgressMillis = nowMillis;
    }

    /** Records that the response is not read for now. */
    public void onPaused() {
        paused = true;
    }

    /**
     * Records that the response is read again.
     *
     * @param nowMillis the current time
     */
    public void onResumed(long nowMillis) {
        paused = false;
        lastProgressMillis = nowMillis;
    }

    /** Records that the response has started, so that progress with other requests no longer counts. */
    public void onResponseStarted() {
        responseStarted = true;
    }

    /**
     * Changes the limit.
     *
     * @param millis the time without progress after which the upstream has stalled
     */
    public void setLimitMillis(long millis) {
        limitMillis = millis;
    }

    /**
     * Returns the limit.
     *
     * @return the time without progress after which the upstream has stalled, in milliseconds
     */
    public long limitMillis() {
        return limitMillis;
    }

    /**
     * Returns how long there has been no progress.
     *
     * @param upstreamStalledMillis how long the upstream has made no progress with any request
     * @param nowMillis the current time
     * @return the time in milliseconds, 0 while the response is not read
     */
    public long stalledMillis(long upstreamStalledMillis, long nowMillis) {
        if (paused) {
            return 0;
        }
        long ownMillis = nowMillis - lastProgressMillis;
        return responseStarted ? ownMillis : Math.min(ownMillis, upstreamStalledMillis);
    }

    /**
     * Returns how much longer there may be no progress.
     *
     * @param upstreamStalledMillis how long the upstream has made no progress with any request
     * @param nowMillis the current time
     * @return the time in milliseconds, 0 when the upstream has stalled
     */
    public long remainingMillis(long upstreamStalledMillis, long nowMillis) {
        return Math.max(0, limitMillis - stalledMillis(upstreamStalledMillis, nowMillis));
    }
}
