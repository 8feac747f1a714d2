package org.cactusshift.internal.coordination.routing;

import java.util.Objects;
import java.util.Set;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.dispatch.DispatchRequest;

/**
 * A request as routing sees it.
 *
 * @param request the request
 * @param promptTokens tokens to be processed before the next output token: the prompt and what was delivered
 * @param expectedOutputTokens output tokens still expected
 * @param excluded upstreams that must not be chosen, such as those set aside for a suspect
 * @param orderedOnly whether reclaimable upstreams must not be chosen
 */
public record RouteQuery(
        DispatchRequest request,
        long promptTokens,
        long expectedOutputTokens,
        Set<UpstreamId> excluded,
        boolean orderedOnly) {
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
        return upstream.takes(request.repeatable(), nowMillis)
                && !excluded.contains(upstream.id())
                && !(orderedOnly && upstream.config().reclaimable());
    }

    /**
     * Returns the KV cache pieces that the request fills.
     *
     * @return the pieces, at least 1 when it has any token
     */
    public int pieces() {
        long tokens = promptTokens + expectedOutputTokens;
        return (int) ((tokens + UpstreamState.PIECE_TOKENS - 1) / UpstreamState.PIECE_TOKENS);
    }
}
