package org.cactusshift.internal.coordination.serving;

import org.cactusshift.internal.coordination.performance.SustainableLoad;

/**
 * A request that was sent to an upstream, and the work of others that was there before it.
 *
 * @param stage as for {@link LatencyEstimator#firstPartMillis}
 * @param uncachedTokens the prompt tokens of the request that the upstream has to prefill
 * @param pendingTokens the pending prefill tokens when the request was sent, including its own
 * @param relativeQueueLength the requests that have to end before this one starts, divided by the slots
 * @param loadRange the range of the load at the upstream, as for {@link SustainableLoad}
 * @param isPlain whether it is a request to a plain service
 */
public record SentWork(
        EngineStage stage,
        long uncachedTokens,
        long pendingTokens,
        double relativeQueueLength,
        int loadRange,
        boolean isPlain) {
    /**
     * Returns how many requests have to end before a further one starts, relative to the slots.
     *
     * @param requests the requests at the upstream
     * @param slots the requests that it runs concurrently
     * @return the length of the queue, 0 while a slot is free
     */
    static double relativeQueueLength(int requests, int slots) {
        int usableSlots = Math.max(1, slots);
        return Math.max(0, requests + 1 - usableSlots) / (double) usableSlots;
    }
}
