package org.cactusshift.internal.coordination.serving;

import java.util.Optional;

/**
 * The choice of upstreams for one request.
 *
 * @param target the upstream that sends the response
 * @param prefillEngine the engine that prefills the prompt, when this is not the target
 * @param fetchFrom the engine from which the prefilling engine fetches the KV cache of prompt parts that it does not
 *     have
 * @param uncachedTokens the prompt tokens that have to be prefilled
 * @param firstResponseMillis the expected time until the first part of the response
 * @param prefillMillis the expected time until the prompt is prefilled
 */
public record Placement(
        Upstream target,
        Optional<Upstream> prefillEngine,
        Optional<Upstream> fetchFrom,
        long uncachedTokens,
        long firstResponseMillis,
        long prefillMillis) {}
