package org.cactusshift.standin.engine;

/**
 * The rates and delays of a {@link StandInEngine}.
 *
 * @param prefillTokensPerSecond the prefill rate in the prefill and mixed roles, in tokens per second
 * @param decodeMillis the time between tokens in a batch of one, in milliseconds
 * @param decodeMillisPerRequest the time between tokens that each further request in the batch adds, in milliseconds
 * @param loadLagMillis the lag of load reports, in milliseconds; they show the newest sample of at least this age, or
 *     else the oldest one
 * @param eventLagMillis the lag after which cache events are published, in milliseconds
 * @param lostEventInterval one in so many cache events is lost; 0 for none
 * @param orderMillis the time for which an order takes the engine out of service, in milliseconds
 * @param keepAliveMillis the interval of keep-alive comments while a streamed request waits, in milliseconds
 * @param restartAfterMillis the time from a crash to the restart, in milliseconds; 0 for no restart
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
            throw new IllegalArgumentException(
                    "prefillTokensPerSecond must be positive and decode times must not be negative");
        }
    }

    /**
     * Returns the default timing: 20,000 prompt tokens per second, 20 ms per token and 0.5 ms more for each further
     * request, lags of 500 ms for load reports and 1 s for cache events, of which one in 50 is lost, orders of 3 s,
     * keep-alive comments every 500 ms, and no restart after a crash.
     *
     * @return the timing
     */
    public static EngineTiming standard() {
        return new EngineTiming(20_000, 20, 0.5, 500, 1000, 50, 3000, 500, 0);
    }

    /**
     * Returns a timing for tests: short steps, orders and keep-alive intervals, no lag, no lost events, no restart.
     *
     * @return the timing
     */
    public static EngineTiming fast() {
        return new EngineTiming(1_000_000, 1, 0.01, 0, 0, 0, 50, 50, 0);
    }

    /**
     * Returns this timing with other rates.
     *
     * @param prefillTokensPerSecond the prefill rate, in tokens per second
     * @param decodeMillis the time between tokens in a batch of one, in milliseconds
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
     * Returns this timing with other lags of load reports and cache events.
     *
     * @param loadLagMillis the lag of load reports, in milliseconds
     * @param eventLagMillis the lag of cache events, in milliseconds
     * @param lostEventInterval one in so many cache events is lost; 0 for none
     * @return the timing
     */
    public EngineTiming withLags(long loadLagMillis, long eventLagMillis, int lostEventInterval) {
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
     * Returns this timing with other durations of orders and restarts.
     *
     * @param orderMillis the duration of an order, in milliseconds
     * @param restartAfterMillis the time from a crash to the restart, in milliseconds; 0 for no restart
     * @return the timing
     */
    public EngineTiming withOrderAndRestartTimes(long orderMillis, long restartAfterMillis) {
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
