package org.cactusshift.internal.transport.relay;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.cactusshift.id.RequestId;
import org.cactusshift.internal.coordination.serving.PromptPart;

/**
 * Metadata of a caller's request, parsed from its headers.
 *
 * @param requestId the id that the caller gave the request
 * @param timeBudgetMillis the time that the caller allows from the receipt of the complete request to the end of
 *     the response, in milliseconds; empty when not stated
 * @param apiKey the API key, empty when none was sent
 * @param prompt the parts of the prompt, empty for plain services
 * @param expectedOutputTokens the number of output tokens that the caller expects, 0 when not stated
 * @param countedTokens the prompt tokens and the maximum output tokens, which the quota of the account counts; empty
 *     when not stated
 * @param lastEventId the last event that the caller has received of the stream that it resumes, empty when it
 *     resumes none
 * @param resumedRequest the id of the request whose response brought the first event of that stream, empty when not
 *     stated
 */
public record RequestMetadata(
        RequestId requestId,
        OptionalLong timeBudgetMillis,
        Optional<String> apiKey,
        List<PromptPart> prompt,
        int expectedOutputTokens,
        OptionalLong countedTokens,
        OptionalLong lastEventId,
        Optional<RequestId> resumedRequest) {
    /** Copies the list of prompt parts. */
    public RequestMetadata {
        prompt = List.copyOf(prompt);
    }
}
