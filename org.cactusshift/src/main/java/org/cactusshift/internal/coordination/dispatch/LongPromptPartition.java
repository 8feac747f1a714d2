package org.cactusshift.internal.coordination.dispatch;

import org.cactusshift.internal.coordination.routing.PromptMixMeter;

/** Decides which share of the fleet long prompts keep to, from what arrives at this node. */
final class LongPromptPartition {
    private static final double BRIEF_HEADROOM = 1.5;

    private final WorkEstimator estimator;
    private final PromptMixMeter mix = PromptMixMeter.create();
    private int nodes = 1;

    LongPromptPartition(WorkEstimator estimator) {
        this.estimator = estimator;
    }

    void setNodes(int liveNodes) {
        nodes = liveNodes;
    }

    void onArrival(DispatchRequest request, long outputTokens, long nowMillis) {
        double work = estimator.cost(request.promptTokens(), outputTokens);
        mix.onArrival(request.promptTokens(), work, nowMillis);
    }

    /**
     * Returns the share of the fleet for long prompts, in whole upstreams: by the work of both kinds, but leaving brief
     * prompts what they need however many long ones come; 1 while all prompts are of one kind.
     */
    double share(int upstreams, long nowMillis) {
        double share = mix.longShare();
        if (upstreams < 2 || share >= 1 || share <= 0) {
            return 1;
        }
        double briefNeed = BRIEF_HEADROOM * nodes * estimator.requiredEngines(mix.shortWorkPerSecond(nowMillis));
        long byWork = Math.round(share * upstreams);
        long most = Math.max(1, upstreams - Math.max(1, Math.round(briefNeed)));
        return (double) Math.max(1, Math.min(byWork, most)) / upstreams;
    }
}
