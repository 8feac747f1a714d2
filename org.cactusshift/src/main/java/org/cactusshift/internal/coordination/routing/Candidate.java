package org.cactusshift.internal.coordination.routing;

import java.util.Optional;
import org.cactusshift.id.UpstreamId;

/**
 * An upstream that was weighed for a request.
 *
 * @param upstream the upstream
 * @param firstTokenMillis the expected wait for the first token
 * @param completionMillis the expected wait for the whole answer
 * @param costMillis what is compared: the wait for the whole answer and the penalties
 * @param cachedTokens prompt tokens that it is thought to hold
 * @param hasRoom whether it takes the request without a long wait
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
