package org.cactusshift.internal.coordination.routing;

/** Measures which share of the arriving work belongs to long prompts, with a decaying memory. */
public final class PromptMixMeter {
    /** The least length of a prompt that counts as long. */
    public static final long LONG_PROMPT_TOKENS = 1_024;

    private static final double MEMORY_MILLIS = 15_000;

    private double longWork;
    private double briefWork;
    private long atMillis;

    private PromptMixMeter() {}

    /**
     * Returns a meter that has seen nothing.
     *
     * @return the meter
     */
    public static PromptMixMeter create() {
        return new PromptMixMeter();
    }

    /**
     * Notes an arrival.
     *
     * @param promptTokens the prompt
     * @param work its work, in weighted tokens
     * @param nowMillis the present time
     */
    public void onArrival(long promptTokens, double work, long nowMillis) {
        double decay = Math.exp(-Math.max(0, nowMillis - atMillis) / MEMORY_MILLIS);
        longWork *= decay;
        briefWork *= decay;
        atMillis = Math.max(atMillis, nowMillis);
        if (promptTokens >= LONG_PROMPT_TOKENS) {
            longWork += work;
        } else {
            briefWork += work;
        }
    }

    /**
     * Returns the share of long prompts.
     *
     * @return 0 to 1; 1 when nothing but long prompts came, or nothing at all
     */
    public double longShare() {
        double work = longWork + briefWork;
        return work <= 0 ? 1 : longWork / work;
    }

    /**
     * Returns the work of brief prompts that arrives.
     *
     * @param nowMillis the present time
     * @return weighted tokens a second
     */
    public double shortWorkPerSecond(long nowMillis) {
        double decay = Math.exp(-Math.max(0, nowMillis - atMillis) / MEMORY_MILLIS);
        return briefWork * decay * 1_000 / MEMORY_MILLIS;
    }
}
