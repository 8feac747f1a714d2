package org.cactusshift.standin.engine;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;

/**
 * A chat or completion request of the OpenAI API, fresh or resumed. A resumed request repeats the prompt, followed by
 * the text delivered so far, to continue an interrupted answer.
 *
 * @param chat whether it is a chat request
 * @param model the requested model
 * @param prompt the canonical prompt as defined in {@link ExpectedAnswer}, including the text that was delivered before
 *     a resume
 * @param answer the complete answer to the original prompt
 * @param firstTokenIndex the index of the first token to generate
 * @param outputTokens the number of tokens to generate
 * @param stream whether the response is streamed
 * @param includesUsage whether the stream ends with a usage chunk
 * @param priority the priority; lower values run first
 * @param kvTransferParameters the parameters of the KV-cache transfer; a missing node when absent
 */
record GenerateRequest(
        boolean chat,
        String model,
        String prompt,
        ExpectedAnswer answer,
        int firstTokenIndex,
        int outputTokens,
        boolean stream,
        boolean includesUsage,
        int priority,
        JsonNode kvTransferParameters) {
    static final String CHAT_PATH = "/v1/chat/completions";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** The number of characters that count as one token of a prompt. */
    private static final int CHARS_PER_TOKEN = 4;

    /**
     * Parses a request.
     *
     * @param path the path of the request
     * @param body the JSON body
     * @return the request; empty if it is malformed
     */
    static Optional<GenerateRequest> parse(String path, String body) {
        JsonNode root;
        try {
            root = MAPPER.readTree(body);
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
        boolean chat = path.equals(CHAT_PATH);
        Optional<SplitPrompt> split = chat ? splitChat(root) : splitCompletion(root);
        return split.map(prompt -> of(chat, root, prompt));
    }

    /** Returns the length of the prompt, in tokens. */
    int promptTokens() {
        return tokenCount(prompt);
    }

    /** Returns whether the request is for prefill only, as another engine decodes. */
    boolean isForRemoteDecode() {
        return kvTransferParameters.path("do_remote_decode").asBoolean(false);
    }

    static int tokenCount(String text) {
        return (text.length() + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN;
    }

    private static GenerateRequest of(boolean chat, JsonNode root, SplitPrompt prompt) {
        int firstToken = prompt.delivered().length() / ExpectedAnswer.TOKEN_CHARS;
        // The default length applies to the whole answer, so that a resume does not lengthen it.
        int defaultTokens = Math.max(1, ExpectedAnswer.DEFAULT_TOKENS - firstToken);
        int limit =
                root.path("max_completion_tokens").asInt(root.path("max_tokens").asInt(defaultTokens));
        return new GenerateRequest(
                chat,
                root.path("model").asText(""),
                prompt.sent(),
                ExpectedAnswer.forPrompt(prompt.original()),
                firstToken,
                Math.max(1, limit),
                root.path("stream").asBoolean(false),
                root.path("stream_options").path("include_usage").asBoolean(false),
                root.path("priority").asInt(0),
                root.path("kv_transfer_params"));
    }

    private static Optional<SplitPrompt> splitChat(JsonNode root) {
        JsonNode messages = root.path("messages");
        if (!messages.isArray() || messages.isEmpty()) {
            return Optional.empty();
        }
        StringBuilder before = new StringBuilder();
        for (int i = 0; i < messages.size() - 1; i++) {
            before.append(canonical(messages.get(i)));
        }
        JsonNode last = messages.get(messages.size() - 1);
        String sent = before + canonical(last);
        boolean continued = root.path("continue_final_message").asBoolean(false)
                && last.path("role").asText().equals("assistant");
        if (!continued) {
            return Optional.of(new SplitPrompt(sent, sent, ""));
        }
        String original = before.toString();
        String text = contentOf(last);
        return ExpectedAnswer.forPrompt(original).startsWith(text)
                ? Optional.of(new SplitPrompt(sent, original, text))
                : Optional.of(splitCallerStartedMessage(sent, before + "assistant\n", text));
    }

    /** Splits a final assistant message that begins with text of the caller and ends with delivered tokens. */
    private static SplitPrompt splitCallerStartedMessage(String sent, String before, String text) {
        int suffixLength = deliveredSuffixLength(before, text, "\n");
        String callerText = text.substring(0, text.length() - suffixLength);
        return new SplitPrompt(sent, before + callerText + "\n", text.substring(text.length() - suffixLength));
    }

    private static Optional<SplitPrompt> splitCompletion(JsonNode root) {
        JsonNode node = root.path("prompt");
        String prompt = node.isArray() ? node.path(0).asText("") : node.asText("");
        if (prompt.isEmpty()) {
            return Optional.empty();
        }
        int suffixLength = deliveredSuffixLength("", prompt, "");
        String original = prompt.substring(0, prompt.length() - suffixLength);
        return Optional.of(new SplitPrompt(prompt, original, prompt.substring(original.length())));
    }

    /**
     * Returns the length of the longest suffix that is the beginning of the answer to the text before it; 0 if there is
     * none.
     *
     * @param before what precedes the text in the canonical prompt
     * @param text the text
     * @param after what follows the text without the suffix in the canonical prompt
     */
    private static int deliveredSuffixLength(String before, String text, String after) {
        int longest = Math.min(ExpectedAnswer.tokenLikeSuffixLength(text), text.length());
        for (int suffixLength = longest; suffixLength > 0; suffixLength -= ExpectedAnswer.TOKEN_CHARS) {
            String original = text.substring(0, text.length() - suffixLength);
            if (ExpectedAnswer.forPrompt(before + original + after).startsWith(text.substring(original.length()))) {
                return suffixLength;
            }
        }
        return 0;
    }

    private static String canonical(JsonNode message) {
        return message.path("role").asText("") + "\n" + contentOf(message) + "\n";
    }

    private static String contentOf(JsonNode message) {
        JsonNode content = message.path("content");
        if (!content.isArray()) {
            return content.asText("");
        }
        StringBuilder text = new StringBuilder();
        content.forEach(part -> text.append(part.path("text").asText("")));
        return text.toString();
    }

    /**
     * A prompt, split into the original prompt and the delivered text.
     *
     * @param sent the canonical prompt as received
     * @param original the canonical prompt of the original request
     * @param delivered the text that was delivered before a resume; empty for a fresh request
     */
    private record SplitPrompt(String sent, String original, String delivered) {}
}
