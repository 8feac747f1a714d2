package org.cactusshift.internal.coordination.routing;

import java.util.Objects;
import java.util.Set;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.dispatch.DispatchRequest;

/**
 * A request with the parameters that routing policies use.
 *
 * @param request the request
 * @param prefillTokens the tokens to be prefilled before the next output token: the prompt and the output already
 *     delivered
 * @param expectedOutputTokens the output tokens that are still expected
 * @param excluded the upstreams that must not be chosen, such as those reserved for a suspect
 * @param onDemandOnly whether only on-demand upstreams may be chosen
 * @param longShare the share of the fleet that is reserved for long prompts, 0 to 1
 * @param nodePosition the position of this node among all nodes, from 0 to below 1
 */
public record RouteQuery(
        DispatchRequest request,
        long prefillTokens,
        long expectedOutputTokens,
        Set<UpstreamId> excluded,
        boolean onDemandOnly,
        double longShare,
        double nodePosition) {
    /** Checks that the request and the excluded set are not null. */
    public RouteQuery {
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(excluded, "excluded");
    }

    /**
     * Returns whether the request may be sent to an upstream now, regardless of its load.
     *
     * @param upstream the upstream
     * @param nowMillis the current time
     * @return whether it may be chosen
     */
    public boolean allows(UpstreamState upstream, long nowMillis) {
        return upstream.accepts(request.repeatable(), nowMillis)
                && !excluded.contains(upstream.id())
                && !(onDemandOnly && upstream.config().reclaimable());
    }

    /**
     * Returns whether the prompt is so long that its prefill slows down the requests that run on the same engine.
     *
     * @return whether it has at least {@link PromptMixMeter#LONG_PROMPT_TOKENS} tokens
     */
    public boolean isLong() {
        return request.promptTokens() >= PromptMixMeter.LONG_PROMPT_TOKENS;
    }

    /**
     * Returns whether an upstream is in the partition of the fleet for prompts of this length. The partitions are the
     * same at all nodes: long prompts go to the upstreams at the front of the configuration and to all engines in the
     * prefill or decode role, short ones to the others.
     *
     * @param upstream the upstream
     * @return whether it is; always true while the fleet is not partitioned
     */
    public boolean isInPartition(UpstreamState upstream) {
        if (longShare >= 1) {
            return true;
        }
        boolean isForLongPrompts = upstream.role() != UpstreamConfig.Role.MIXED || upstream.position() < longShare;
        return isForLongPrompts == isLong();
    }

    /**
     * Returns the number of KV-cache blocks that the request fills.
     *
     * @return the number of blocks, at least 1 when the request has any token
     */
    public int requiredBlocks() {
        long tokens = prefillTokens + expectedOutputTokens;
        return (int) ((tokens + UpstreamState.BLOCK_TOKENS - 1) / UpstreamState.BLOCK_TOKENS);
    }
}
