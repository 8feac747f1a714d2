package org.cactusshift.internal.transport.gateway;

import org.cactusshift.internal.protocol.openai.CompletionChunk;
import org.cactusshift.internal.protocol.openai.TokenUsage;

/** What comes next of a completion. */
sealed interface CompletionItem {
    /**
     * A part of the answer.
     *
     * @param chunk the part, as the caller is to see it
     */
    record Part(CompletionChunk chunk) implements CompletionItem {}

    /**
     * The end of a whole answer.
     *
     * @param usage the usage of the whole answer
     */
    record End(TokenUsage usage) implements CompletionItem {}

    /**
     * The engine says that the request is wrong.
     *
     * @param response the engine's answer
     */
    record Rejected(UpstreamResponse response) implements CompletionItem {}

    /**
     * The request is given up.
     *
     * @param refusal what the caller is told
     */
    record Refused(Refusal refusal) implements CompletionItem {}
}
