package org.cactusshift.internal.transport.relay;

import java.util.Optional;
import java.util.OptionalLong;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.UpstreamId;

/**
 * What a node tells an upstream about a request, besides the request itself.
 *
 * @param expected the upstream that is meant; any other one must not run the request
 * @param account the client account, empty on open routes
 * @param remainingMillis the time until the answer is due
 * @param prefillOnly whether the engine only reads the prompt, for another engine
 * @param kvSource where the memory of the prompt lies, as {@code ADDRESS:PORT/NAME}
 * @param fetchFrom the engine from which missing parts of the prompt are fetched, as {@code ADDRESS:PORT}
 * @param resumeAfter the event after which a stream goes on
 * @param priority the urgency, 0 is the most urgent
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
