package org.cactusshift.internal.coordination.routing;

import java.util.Objects;
import java.util.Set;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.dispatch.DispatchRequest;

/**
 * A request as routing sees it.
 *
 * @param request the request
 * @param promptTokens tokens to be processed before the next output token: the prompt and what was delivered
 * @param expectedOutputTokens output tokens still expected
 * @param excluded upstreams that must not be chosen, such as those set aside for a suspect
 * @param onDemandOnly whether reclaimable upstreams must not be chosen
 * @param longShare the share of the fleet that long prompts should keep to, 0 to 1
 * @param nodePosition the place of this node among all, from 0 to below 1
 */
public record RouteQuery(
        DispatchRequest request,
        long promptTokens,
        long expectedOutputTokens,
        Set<UpstreamId> excluded,
        boolean onDemandOnly,
        double longShare,
        double nodePosition) {
    /** Checks that no part is missing. */
    public RouteQuery {
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(excluded, "excluded");
    }

    /**
     * Tells whether an upstream may be chosen now, full or not.
     *
     * @param upstream the upstream
     * @param nowMillis the present time
     * @return whether it may be chosen
     */
    public boolean allows(UpstreamState upstream, long nowMillis) {
        return upstream.accepts(request.repeatable(), nowMillis)
                && !excluded.contains(upstream.id())
                && !(onDemandOnly && upstream.config().reclaimable());
    }

    /**
     * Tells whether the prompt is long enough to slow the answers beside it.
     *
     * @return whether it is long
     */
    public boolean isLong() {
        return request.promptTokens() >= PromptMixMeter.LONG_PROMPT_TOKENS;
    }

    /**
     * Tells whether an upstream is in the part of the fleet that the request should keep to, the same at all nodes:
     * long prompts at the front of the declaration, brief ones behind.
     *
     * @param upstream the upstream
     * @return whether it is; always true while all requests are of one kind
     */
    public boolean isInZone(UpstreamState upstream) {
        if (longShare >= 1) {
            return true;
        }
        boolean longZone = upstream.role() != UpstreamConfig.Role.MIXED || upstream.position() < longShare;
        return longZone == isLong();
    }

    /**
     * Returns the KV cache pieces that the request fills.
     *
     * @return the pieces, at least 1 when it has any token
     */
    public int requiredBlocks() {
        long tokens = promptTokens + expectedOutputTokens;
        return (int) ((tokens + UpstreamState.BLOCK_TOKENS - 1) / UpstreamState.BLOCK_TOKENS);
    }
}
