package org.cactusshift.internal.coordination.dispatch;

import org.cactusshift.internal.coordination.routing.PromptMixMeter;

/**
 * Computes the share of the upstreams that long prompts are restricted to, from the requests that arrive at this node.
 */
final class LongPromptPartition {
    /** Capacity set aside for short prompts, as a multiple of their arriving work. */
    private static final double SHORT_PROMPT_HEADROOM = 1.5;

    private final WorkEstimator estimator;
    private final PromptMixMeter promptMix = PromptMixMeter.create();
    private int liveNodes = 1;

    LongPromptPartition(WorkEstimator estimator) {
        this.estimator = estimator;
    }

    void setLiveNodes(int newLiveNodes) {
        liveNodes = newLiveNodes;
    }

    void onArrival(DispatchRequest request, long outputTokens, long nowMillis) {
        double work = estimator.workTokens(request.promptTokens(), outputTokens);
        promptMix.onArrival(request.promptTokens(), work, nowMillis);
    }

    /**
     * Returns the share of the fleet for long prompts, rounded to whole upstreams. It is proportional to the work of
     * long and short prompts, but never takes the capacity that short prompts need, however many long ones arrive. It
     * is 1 while all prompts are of one kind.
     */
    double share(int upstreamCount, long nowMillis) {
        double share = promptMix.longShare();
        if (upstreamCount < 2 || share >= 1 || share <= 0) {
            return 1;
        }
        // This node sees only its part of the arrivals; every other live node is assumed to receive as much.
        double shortPromptUpstreams =
                SHORT_PROMPT_HEADROOM * liveNodes * estimator.requiredEngines(promptMix.shortWorkPerSecond(nowMillis));
        long proportional = Math.round(share * upstreamCount);
        long maximum = Math.max(1, upstreamCount - Math.max(1, Math.round(shortPromptUpstreams)));
        return (double) Math.max(1, Math.min(proportional, maximum)) / upstreamCount;
    }
}
