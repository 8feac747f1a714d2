package org.cactusshift.internal.coordination.serving;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.RequestId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.internal.coordination.quarantine.CrashSuspect;

/**
 * The properties of a request that the decision logic uses.
 *
 * @param id the request id that the caller set
 * @param account the client account, {@code -} when no API key was needed
 * @param route the route
 * @param service the service selected for the request
 * @param priority the priority; 0 is the most urgent
 * @param prompt the parts of the prompt, of which the last one is not shared with other requests; empty for plain
 *     services
 * @param expectedOutputTokens the expected output tokens, 0 when unknown
 * @param bodyBytes the length of the request body, in bytes
 * @param arrivedAtMillis the monotonic time at which the request had been received completely
 * @param deadlineMillis the deadline for the end of the response, in monotonic time
 * @param fingerprint a hash that is equal for requests with the same path, account and body
 */
public record ServingRequest(
        RequestId id,
        AccountId account,
        ServedRoute route,
        ServiceId service,
        int priority,
        List<PromptPart> prompt,
        int expectedOutputTokens,
        int bodyBytes,
        long arrivedAtMillis,
        long deadlineMillis,
        long fingerprint) {
    /** Copies the list. */
    public ServingRequest {
        prompt = List.copyOf(prompt);
    }

    /**
     * Returns the length of the prompt.
     *
     * @return the number of tokens
     */
    public int promptTokens() {
        return prompt.stream().mapToInt(PromptPart::tokens).sum();
    }

    /**
     * Returns the tokens for which the request takes memory at an engine while it is open there.
     *
     * @param isPrefill whether the engine only prefills the prompt
     * @return the tokens of the prompt, and of the expected output unless it is a prefill
     */
    public long heldTokens(boolean isPrefill) {
        long tokens = isPrefill ? 0 : expectedOutputTokens;
        for (PromptPart part : prompt) {
            tokens += part.tokens();
        }
        return tokens;
    }

    /**
     * Returns whether the memory of an engine suffices for the request.
     *
     * @param service the service, empty when it is not known
     * @return whether it does; true for a plain service and for one that states no capacity
     */
    public boolean fitsAnEngine(Optional<ServedService> service) {
        long capacityTokens = service.flatMap(ServedService::engine)
                .map(EngineCapabilities::kvCapacityTokens)
                .orElse(0L);
        return capacityTokens <= 0 || heldTokens(false) <= capacityTokens;
    }

    /**
     * Returns what may crash an upstream by this request: the request itself and the parts of its prompt, but not the
     * last part, which is in no other request.
     *
     * @return the suspects
     */
    public List<CrashSuspect> crashSuspects() {
        List<CrashSuspect> suspects = new ArrayList<>();
        suspects.add(CrashSuspect.request(fingerprint));
        suspects.addAll(CrashSuspect.promptParts(prompt.stream()
                .limit(Math.max(0, prompt.size() - 1))
                .map(PromptPart::id)
                .distinct()
                .toList()));
        return suspects;
    }
}
