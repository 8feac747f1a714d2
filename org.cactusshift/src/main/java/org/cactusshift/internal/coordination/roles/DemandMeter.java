package org.cactusshift.internal.coordination.roles;

/** Measures the token demand of a model, as an exponentially decaying average. */
public final class DemandMeter {
    private final double decayMillis;
    private double promptTokens;
    private double outputTokens;
    private long atMillis;
    private final long startedAtMillis;

    private DemandMeter(long decayMillis, long nowMillis) {
        this.decayMillis = decayMillis;
        this.atMillis = nowMillis;
        this.startedAtMillis = nowMillis;
    }

    /**
     * Returns a meter without arrivals.
     *
     * @param decayMillis the time after which an arrival counts for 1/e, above 0
     * @param nowMillis the current time
     * @return the meter
     */
    public static DemandMeter create(long decayMillis, long nowMillis) {
        return new DemandMeter(decayMillis, nowMillis);
    }

    /**
     * Records the arrival of a request.
     *
     * @param prompt the prompt tokens
     * @param output the expected output tokens
     * @param nowMillis the current time
     */
    public void onArrival(long prompt, long output, long nowMillis) {
        decay(nowMillis);
        promptTokens += prompt;
        outputTokens += output;
    }

    /**
     * Returns the current demand; until the meter is as old as its averaging time, the demand is averaged over its age.
     *
     * @param nowMillis the current time
     * @return the demand
     */
    public TokenDemand demand(long nowMillis) {
        decay(nowMillis);
        double ageMillis = Math.max(1_000, nowMillis - startedAtMillis);
        double spanSeconds = decayMillis * (1 - Math.exp(-ageMillis / decayMillis)) / 1_000;
        return new TokenDemand(promptTokens / spanSeconds, outputTokens / spanSeconds);
    }

    private void decay(long nowMillis) {
        double factor = Math.exp(-Math.max(0, nowMillis - atMillis) / decayMillis);
        promptTokens *= factor;
        outputTokens *= factor;
        atMillis = Math.max(atMillis, nowMillis);
    }
}
