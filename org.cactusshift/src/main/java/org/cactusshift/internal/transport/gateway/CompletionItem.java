package org.cactusshift.internal.transport.gateway;

import org.cactusshift.internal.protocol.openai.CompletionChunk;
import org.cactusshift.internal.protocol.openai.TokenUsage;

/** An item of the answer to a completion request: a chunk, the end or a failure. Every item but a chunk is the last. */
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
     * The gateway refuses the request, or ends it before the answer is complete.
     *
     * @param refusal the refusal that the caller receives
     */
    record Refused(Refusal refusal) implements CompletionItem {}
}
