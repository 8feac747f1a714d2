package org.cactusshift.internal.transport.relay;

import java.util.Optional;
import java.util.OptionalLong;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.UpstreamId;

/**
 * Instructions that a node sends to an upstream, as headers, with one attempt of a request.
 *
 * @param expected the upstream that is addressed; any other upstream must refuse the request
 * @param account the client account, empty on open routes
 * @param remainingMillis the time left until the response is due
 * @param prefillOnly whether the engine only does the prefill, for a separate decode engine
 * @param kvSource the KV source of the prompt, as {@code ADDRESS:PORT/HANDLE}
 * @param fetchFrom the engine from which KV-cache blocks that this one lacks are fetched, as {@code ADDRESS:PORT}
 * @param resumeAfter the id of the event after which an interrupted stream is resumed
 * @param priority the priority, 0 is the most urgent
 */
public record AttemptDirectives(
        UpstreamId expected,
        Optional<AccountId> account,
        long remainingMillis,
        boolean prefillOnly,
        Optional<String> kvSource,
        Optional<String> fetchFrom,
        OptionalLong resumeAfter,
        int priority) {}
