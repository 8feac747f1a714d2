package org.cactusshift.internal.coordination.routing;

import java.util.Optional;
import org.cactusshift.id.UpstreamId;

/**
 * An upstream that was evaluated for a request.
 *
 * @param upstream the upstream
 * @param firstTokenMillis the expected time to first token
 * @param completionMillis the expected time to the end of the response
 * @param costMillis the cost that is compared: the expected time to the end of the response plus penalties
 * @param cachedTokens the estimated prompt tokens in its prefix cache
 * @param hasRoom whether it can take the request without long queueing
 * @param prefill the engine that would process the prompt first, or empty
 */
public record Candidate(
        UpstreamId upstream,
        double firstTokenMillis,
        double completionMillis,
        double costMillis,
        long cachedTokens,
        boolean hasRoom,
        Optional<UpstreamId> prefill) {}
