package org.cactusshift.internal.coordination.roles;

/** Measures what arrives at a model, with an exponentially decaying memory. */
public final class DemandMeter {
    private final double memoryMillis;
    private double promptTokens;
    private double outputTokens;
    private long atMillis;
    private final long startedAtMillis;

    private DemandMeter(long memoryMillis, long nowMillis) {
        this.memoryMillis = memoryMillis;
        this.atMillis = nowMillis;
        this.startedAtMillis = nowMillis;
    }

    /**
     * Returns a meter that has seen nothing.
     *
     * @param memoryMillis the time after which an arrival counts for 1/e, above 0
     * @param nowMillis the present time
     * @return the meter
     */
    public static DemandMeter create(long memoryMillis, long nowMillis) {
        return new DemandMeter(memoryMillis, nowMillis);
    }

    /**
     * Notes an arrival.
     *
     * @param prompt prompt tokens
     * @param output expected output tokens
     * @param nowMillis the present time
     */
    public void onArrival(long prompt, long output, long nowMillis) {
        decay(nowMillis);
        promptTokens += prompt;
        outputTokens += output;
    }

    /**
     * Returns the present demand; a meter younger than its memory divides by its age.
     *
     * @param nowMillis the present time
     * @return the demand
     */
    public TokenDemand demand(long nowMillis) {
        decay(nowMillis);
        double ageMillis = Math.max(1_000, nowMillis - startedAtMillis);
        double spanSeconds = memoryMillis * (1 - Math.exp(-ageMillis / memoryMillis)) / 1_000;
        return new TokenDemand(promptTokens / spanSeconds, outputTokens / spanSeconds);
    }

    private void decay(long nowMillis) {
        double factor = Math.exp(-Math.max(0, nowMillis - atMillis) / memoryMillis);
        promptTokens *= factor;
        outputTokens *= factor;
        atMillis = Math.max(atMillis, nowMillis);
    }
}
