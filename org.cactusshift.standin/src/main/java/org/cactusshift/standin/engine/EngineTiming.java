package org.cactusshift.standin.engine;

/**
 * The rates and delays of a {@link StandInEngine}.
 *
 * @param prefillTokensPerSecond the rate of prompt processing in the role that fits it
 * @param decodeMillis the time of one token in a batch of one, in milliseconds
 * @param decodeMillisPerRequest the time that each further request in the batch adds, in milliseconds
 * @param loadLagMillis the least age of a load report, in milliseconds
 * @param eventLagMillis how late cache events are published, in milliseconds
 * @param lostEventInterval one of so many cache events is never published; 0 for no gaps
 * @param orderMillis how long an order takes the engine out of service, in milliseconds
 * @param keepAliveMillis the interval of comments while a streamed request waits, in milliseconds
 * @param restartAfterMillis when a crashed engine starts again, in milliseconds; 0 for never
 */
public record EngineTiming(
        double prefillTokensPerSecond,
        double decodeMillis,
        double decodeMillisPerRequest,
        long loadLagMillis,
        long eventLagMillis,
        int lostEventInterval,
        long orderMillis,
        long keepAliveMillis,
        long restartAfterMillis) {
    /** Checks the rates. */
    public EngineTiming {
        if (!(prefillTokensPerSecond > 0) || decodeMillis < 0 || decodeMillisPerRequest < 0) {
            throw new IllegalArgumentException("a rate is not positive");
        }
    }

    /**
     * Returns the timing of a usual engine.
     *
     * @return the timing
     */
    public static EngineTiming standard() {
        return new EngineTiming(20_000, 20, 0.5, 500, 1000, 50, 3000, 500, 0);
    }

    /**
     * Returns a timing for tests: quick steps, no lag, no gaps.
     *
     * @return the timing
     */
    public static EngineTiming fast() {
        return new EngineTiming(1_000_000, 1, 0.01, 0, 0, 0, 50, 50, 0);
    }

    /**
     * Returns this timing with other rates.
     *
     * @param prefillTokensPerSecond the rate of prompt processing
     * @param decodeMillis the time of one token, in milliseconds
     * @return the timing
     */
    public EngineTiming withRates(double prefillTokensPerSecond, double decodeMillis) {
        return new EngineTiming(
                prefillTokensPerSecond,
                decodeMillis,
                decodeMillisPerRequest,
                loadLagMillis,
                eventLagMillis,
                lostEventInterval,
                orderMillis,
                keepAliveMillis,
                restartAfterMillis);
    }

    /**
     * Returns this timing with other lags of its reports.
     *
     * @param loadLagMillis the least age of a load report, in milliseconds
     * @param eventLagMillis how late cache events are, in milliseconds
     * @param eventGapEvery one of so many cache events is lost; 0 for none
     * @return the timing
     */
    public EngineTiming withLags(long loadLagMillis, long eventLagMillis, int eventGapEvery) {
        return new EngineTiming(
                prefillTokensPerSecond,
                decodeMillis,
                decodeMillisPerRequest,
                loadLagMillis,
                eventLagMillis,
                eventGapEvery,
                orderMillis,
                keepAliveMillis,
                restartAfterMillis);
    }

    /**
     * Returns this timing with other lengths of changes and restarts.
     *
     * @param orderMillis how long an order takes, in milliseconds
     * @param restartAfterMillis when a crashed engine starts again, in milliseconds; 0 for never
     * @return the timing
     */
    public EngineTiming withChanges(long orderMillis, long restartAfterMillis) {
        return new EngineTiming(
                prefillTokensPerSecond,
                decodeMillis,
                decodeMillisPerRequest,
                loadLagMillis,
                eventLagMillis,
                lostEventInterval,
                orderMillis,
                keepAliveMillis,
                restartAfterMillis);
    }
}
