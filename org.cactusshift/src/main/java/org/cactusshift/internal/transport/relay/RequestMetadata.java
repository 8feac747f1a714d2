package org.cactusshift.internal.transport.relay;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.cactusshift.id.RequestId;
import org.cactusshift.internal.coordination.serving.PromptPart;

/**
 * Metadata of a caller's request, parsed from its headers.
 *
 * @param requestId the id of this attempt of the caller
 * @param timeBudgetMillis how long the caller waits, empty when not stated
 * @param key the caller's key, empty when none was sent
 * @param prompt the parts of the prompt, empty for plain services
 * @param outputTokens the number of output tokens that the caller expects, 0 when not stated
 * @param lastEventId the last event that the caller has received of the stream that it resumes
 */
public record RequestMetadata(
        RequestId requestId,
        OptionalLong timeBudgetMillis,
        Optional<String> key,
        List<PromptPart> prompt,
        int outputTokens,
        OptionalLong lastEventId) {
    /** Copies the list of prompt parts. */
    public RequestMetadata {
        prompt = List.copyOf(prompt);
    }
}
