package org.cactusshift.internal.coordination.serving;

import java.util.Optional;

/**
 * The choice of upstreams for one request.
 *
 * @param target the upstream that sends the response
 * @param prefillEngine the engine that prefills the prompt; empty when no separate engine does
 * @param fetchFrom the engine from which the prefilling engine tries to fetch the KV cache of prompt parts that it does
 *     not have; empty when it fetches none
 * @param uncachedTokens the prompt tokens that have to be prefilled
 * @param firstPartMillis the expected time to the first part of the response
 * @param prefillMillis the expected time until the prompt is prefilled; equal to {@code firstPartMillis} without a
 *     separate prefill engine
 */
public record Placement(
        Upstream target,
        Optional<Upstream> prefillEngine,
        Optional<Upstream> fetchFrom,
        long uncachedTokens,
        long firstPartMillis,
        long prefillMillis) {}
