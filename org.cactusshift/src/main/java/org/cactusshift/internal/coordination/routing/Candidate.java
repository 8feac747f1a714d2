package org.cactusshift.internal.coordination.routing;

import java.util.Optional;
import org.cactusshift.id.UpstreamId;

/**
 * An upstream that was evaluated for a request.
 *
 * @param upstream the upstream
 * @param firstTokenMillis the expected time to first token; like the other times 0 when the policy computes no costs
 * @param completionMillis the expected time to the end of the response
 * @param costMillis the cost that is compared: the expected time to the end of the response plus penalties
 * @param cachedTokens the estimated prompt tokens in the prefix cache of the engine that prefills
 * @param hasRoom whether the request may be sent to it now: it is idle, or it has space in its KV cache and a short
 *     backlog, and the prefill would not make open attempts miss their deadlines
 * @param prefill the engine that would prefill the prompt; empty when the upstream itself would
 */
public record Candidate(
        UpstreamId upstream,
        double firstTokenMillis,
        double completionMillis,
        double costMillis,
        long cachedTokens,
        boolean hasRoom,
        Optional<UpstreamId> prefill) {}
