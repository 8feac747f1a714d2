package org.cactusshift.internal.protocol.openai;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;

/**
 * The token counts of one completion.
 *
 * @param promptTokens the number of prompt tokens
 * @param completionTokens the number of generated tokens
 * @param cachedTokens the number of prompt tokens that were found in the engine's prefix cache; 0 when not
 *     reported
 */
public record TokenUsage(long promptTokens, long completionTokens, long cachedTokens) {
    /** The assumed number of characters (UTF-16 units) per token, for estimates. */
    private static final int CHARS_PER_TOKEN = 4;

    /**
     * Reads the usage of a chunk or a response.
     *
     * @param node the field {@code usage}, may be null or a JSON null
     * @return the usage, or empty when the node lacks a valid count of prompt or completion tokens
     */
    public static Optional<TokenUsage> fromJson(JsonNode node) {
        if (node == null || !isCount(node.get("prompt_tokens")) || !isCount(node.get("completion_tokens"))) {
            return Optional.empty();
        }
        long cached = node.path("prompt_tokens_details").path("cached_tokens").asLong(0);
        return Optional.of(new TokenUsage(
                node.get("prompt_tokens").longValue(),
                node.get("completion_tokens").longValue(),
                Math.max(cached, 0)));
    }

    private static boolean isCount(JsonNode node) {
        return node != null && node.isIntegralNumber() && node.canConvertToLong() && node.longValue() >= 0;
    }

    /**
     * Estimates the number of tokens of a text without the engine's tokenizer.
     *
     * @param chars the length of the text, in characters
     * @return the number of tokens, rounded up
     */
    public static long estimateTokens(long chars) {
        return (chars + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN;
    }

    ObjectNode toJson() {
        ObjectNode node = Json.newObject();
        node.put("prompt_tokens", promptTokens);
        node.put("completion_tokens", completionTokens);
        node.put("total_tokens", promptTokens + completionTokens);
        node.putObject("prompt_tokens_details").put("cached_tokens", cachedTokens);
        return node;
    }
}
