package org.cactusshift.internal.transport.relay;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.cactusshift.id.RequestId;
import org.cactusshift.internal.coordination.serving.PromptPart;

/**
 * What a caller says of its request.
 *
 * @param requestId the id of this attempt of the caller
 * @param timeBudgetMillis how long the caller waits, empty when not told
 * @param key the caller's key, empty when none was sent
 * @param prompt the parts of the prompt, empty for plain services
 * @param outputTokens the output that the caller expects, 0 when not told
 * @param lastEventId the last event that the caller has of a stream that it resumes
 */
public record RequestMetadata(
        RequestId requestId,
        OptionalLong timeBudgetMillis,
        Optional<String> key,
        List<PromptPart> prompt,
        int outputTokens,
        OptionalLong lastEventId) {
    /** Copies the list. */
    public RequestMetadata {
        prompt = List.copyOf(prompt);
    }
}
