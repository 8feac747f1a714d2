package org.cactusshift.internal.transport.relay;

import java.util.Optional;
import java.util.OptionalLong;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.UpstreamId;

/**
 * Instructions that a node sends to an upstream, as headers, with one attempt of a request.
 *
 * @param expectedUpstream the upstream that is addressed; any other upstream must refuse the request
 * @param account the client account, empty when the route needs no key
 * @param remainingMillis the time left until the response is due, in milliseconds
 * @param prefillOnly whether the engine only does the prefill, for a separate decode engine
 * @param kvSource the prefill engine from which the KV cache of the prompt is fetched and the KV handle there, as
 *     {@code ADDRESS:PORT/HANDLE}; empty without a separate prefill
 * @param fetchFrom the engine from which KV-cache blocks that this one lacks are fetched, as {@code ADDRESS:PORT};
 *     empty when none are fetched
 * @param resumeAfter the id of the event after which an interrupted stream is resumed, empty when it starts from the
 *     beginning
 * @param priority the priority, 0 is the most urgent
 */
public record AttemptDirectives(
        UpstreamId expectedUpstream,
        Optional<AccountId> account,
        long remainingMillis,
        boolean prefillOnly,
        Optional<String> kvSource,
        Optional<String> fetchFrom,
        OptionalLong resumeAfter,
        int priority) {
    static AttemptDirectives of(
            UpstreamAttempt attempt,
            Optional<AccountId> account,
            long remainingMillis,
            OptionalLong lastEventId,
            int priority) {
        boolean prefillsHere = attempt.kvSource().isEmpty();
        return new AttemptDirectives(
                attempt.upstream().id(),
                account,
                remainingMillis,
                attempt.isPrefill(),
                attempt.kvSource(),
                prefillsHere
                        ? attempt.placement()
                                .fetchFrom()
                                .map(engine -> engine.entry().address())
                        : Optional.empty(),
                attempt.isPrefill() ? OptionalLong.empty() : lastEventId,
                priority);
    }
}
