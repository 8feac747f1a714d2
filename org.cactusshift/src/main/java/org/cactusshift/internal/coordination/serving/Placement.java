package org.cactusshift.internal.coordination.serving;

import java.util.Optional;

/**
 * Where a request goes.
 *
 * @param target the upstream that answers
 * @param prefillEngine the engine that reads the prompt first, when another one does
 * @param fetchFrom the engine from which the reading engine fetches parts that it lacks
 * @param uncachedTokens the prompt tokens that the reading engine has to read
 * @param firstAnswerMillis the expected time until the first part of the answer
 * @param prefillMillis the expected time until the prompt is read
 */
public record Placement(
        Upstream target,
        Optional<Upstream> prefillEngine,
        Optional<Upstream> fetchFrom,
        long uncachedTokens,
        long firstAnswerMillis,
        long prefillMillis) {}
