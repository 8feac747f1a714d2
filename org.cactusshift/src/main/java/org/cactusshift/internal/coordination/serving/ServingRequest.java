package org.cactusshift.internal.coordination.serving;

import java.util.List;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.RequestId;
import org.cactusshift.id.ServiceId;

/**
 * A request as the deciding code sees it.
 *
 * @param id the caller's id of this attempt
 * @param account the client account, a placeholder on open routes
 * @param route the route
 * @param service the service chosen for it
 * @param priority the urgency, 0 is the most urgent
 * @param prompt the parts of the prompt, the last one its own; empty for plain services
 * @param outputTokens the output to expect, 0 when not told
 * @param bodyBytes the length of the body
 * @param arrivedAtMillis when it was read whole
 * @param deadlineMillis when the final answer is due at the latest
 * @param fingerprint equal for requests with the same path, account and body
 */
public record ServingRequest(
        RequestId id,
        AccountId account,
        ServedRoute route,
        ServiceId service,
        int priority,
        List<PromptPart> prompt,
        int outputTokens,
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
     * @return tokens
     */
    public int promptTokens() {
        return prompt.stream().mapToInt(PromptPart::tokens).sum();
    }
}
