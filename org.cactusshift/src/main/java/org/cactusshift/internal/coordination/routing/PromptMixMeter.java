package org.cactusshift.internal.coordination.routing;

/** Measures the share of long prompts in the arriving work, as an exponentially weighted moving average. */
public final class PromptMixMeter {
    /** The minimum length of a long prompt. */
    public static final long LONG_PROMPT_TOKENS = 1_024;

    /** The time after which an arrival counts for 1/e. */
    private static final double TIME_CONSTANT_MILLIS = 15_000;

    private double longWork;
    private double shortWork;
    private long updatedAtMillis;

    private PromptMixMeter() {}

    /**
     * Returns a meter without arrivals.
     *
     * @return the meter
     */
    public static PromptMixMeter create() {
        return new PromptMixMeter();
    }

    /**
     * Records the arrival of a request.
     *
     * @param promptTokens the length of the prompt
     * @param work the work of the request, in weighted tokens: an output token counts as several prompt tokens
     * @param nowMillis the current monotonic time, in milliseconds
     */
    public void onArrival(long promptTokens, double work, long nowMillis) {
        double decay = Math.exp(-Math.max(0, nowMillis - updatedAtMillis) / TIME_CONSTANT_MILLIS);
        longWork *= decay;
        shortWork *= decay;
        updatedAtMillis = Math.max(updatedAtMillis, nowMillis);
        if (promptTokens >= LONG_PROMPT_TOKENS) {
            longWork += work;
        } else {
            shortWork += work;
        }
    }

    /**
     * Returns the share of long prompts in the arriving work.
     *
     * @return the share, 0 to 1; 1 when only long prompts arrived, or none at all
     */
    public double longShare() {
        double work = longWork + shortWork;
        return work <= 0 ? 1 : longWork / work;
    }

    /**
     * Returns the arriving work of short prompts.
     *
     * @param nowMillis the current monotonic time, in milliseconds
     * @return the work in weighted tokens per second
     */
    public double shortWorkPerSecond(long nowMillis) {
        double decay = Math.exp(-Math.max(0, nowMillis - updatedAtMillis) / TIME_CONSTANT_MILLIS);
        return shortWork * decay * 1_000 / TIME_CONSTANT_MILLIS;
    }
}
