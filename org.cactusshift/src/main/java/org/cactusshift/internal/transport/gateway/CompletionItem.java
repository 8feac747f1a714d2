package org.cactusshift.internal.transport.gateway;

import org.cactusshift.internal.protocol.openai.CompletionChunk;
import org.cactusshift.internal.protocol.openai.TokenUsage;

/** The next item of a completion. */
sealed interface CompletionItem {
    /**
     * A chunk of the answer.
     *
     * @param chunk the chunk, rewritten for the caller
     */
    record Part(CompletionChunk chunk) implements CompletionItem {}

    /**
     * The end of a complete answer.
     *
     * @param usage the usage of the complete answer
     */
    record End(TokenUsage usage) implements CompletionItem {}

    /**
     * The engine rejected the request as invalid.
     *
     * @param response the engine's response
     */
    record Rejected(UpstreamResponse response) implements CompletionItem {}

    /**
     * The request is refused.
     *
     * @param refusal the refusal that the caller receives
     */
    record Refused(Refusal refusal) implements CompletionItem {}
}
