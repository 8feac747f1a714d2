package org.cactusshift.internal.coordination.roles;

/** Measures the token demand of a model, as an exponentially weighted moving average. */
public final class DemandMeter {
    private final double timeConstantMillis;
    private double promptTokens;
    private double outputTokens;
    private long updatedAtMillis;
    private final long startedAtMillis;

    private DemandMeter(long timeConstantMillis, long nowMillis) {
        this.timeConstantMillis = timeConstantMillis;
        this.updatedAtMillis = nowMillis;
        this.startedAtMillis = nowMillis;
    }

    /**
     * Returns a meter without arrivals.
     *
     * @param timeConstantMillis the time after which an arrival counts for 1/e, above 0
     * @param nowMillis the current time
     * @return the meter
     */
    public static DemandMeter create(long timeConstantMillis, long nowMillis) {
        return new DemandMeter(timeConstantMillis, nowMillis);
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
     * Returns the current demand, corrected for the age of the meter: the average of a young meter covers only its age,
     * and at least one second.
     *
     * @param nowMillis the current time
     * @return the demand
     */
    public TokenDemand demand(long nowMillis) {
        decay(nowMillis);
        double ageMillis = Math.max(1_000, nowMillis - startedAtMillis);
        double spanSeconds = timeConstantMillis * (1 - Math.exp(-ageMillis / timeConstantMillis)) / 1_000;
        return new TokenDemand(promptTokens / spanSeconds, outputTokens / spanSeconds);
    }

    private void decay(long nowMillis) {
        double factor = Math.exp(-Math.max(0, nowMillis - updatedAtMillis) / timeConstantMillis);
        promptTokens *= factor;
        outputTokens *= factor;
        updatedAtMillis = Math.max(updatedAtMillis, nowMillis);
    }
}
