package org.cactusshift.standin.engine;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;

/**
 * A request to generate text, in either form of the OpenAI interface, fresh or resumed.
 *
 * @param chat whether it is a chat
 * @param model the model named
 * @param prompt the canonical prompt sent, including text delivered before a resume
 * @param answer the whole answer to the prompt that the caller sent first
 * @param firstTokenIndex the place of the first token wanted
 * @param outputTokens how many tokens are wanted
 * @param stream whether the answer is streamed
 * @param includesUsage whether the stream ends with a usage chunk
 * @param priority lower is sooner
 * @param kvTransferParameters the KV transfer parameters; a missing node when absent
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

    private static final int CHARS_PER_TOKEN = 4;

    /**
     * Reads a request.
     *
     * @param path the path that it came by
     * @param body the JSON body
     * @return the request, empty when it is malformed
     */
    static Optional<GenerateRequest> parse(String path, String body) {
        JsonNode root;
        try {
            root = MAPPER.readTree(body);
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
        boolean chat = path.equals(CHAT_PATH);
        Optional<SplitPrompt> parts = chat ? chatParts(root) : completionParts(root);
        return parts.map(prompt -> of(chat, root, prompt));
    }

    /** Returns the length of the prompt sent. */
    int promptTokens() {
        return tokensOf(prompt);
    }

    /** Tells whether only the KV cache of the prompt is wanted, for another engine. */
    boolean isForRemoteDecode() {
        return kvTransferParameters.path("do_remote_decode").asBoolean(false);
    }

    static int tokensOf(String text) {
        return (text.length() + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN;
    }

    private static GenerateRequest of(boolean chat, JsonNode root, SplitPrompt prompt) {
        int firstToken = prompt.delivered().length() / ExpectedAnswer.TOKEN_CHARS;
        // A default holds for the whole answer, so that a resume does not lengthen it.
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

    private static Optional<SplitPrompt> chatParts(JsonNode root) {
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

    /** Splits a message that the caller began itself and the delivered tokens lengthened. */
    private static SplitPrompt splitCallerStartedMessage(String sent, String before, String text) {
        int tail = deliveredSuffixLength(before, text, "\n");
        String callersText = text.substring(0, text.length() - tail);
        return new SplitPrompt(sent, before + callersText + "\n", text.substring(text.length() - tail));
    }

    private static Optional<SplitPrompt> completionParts(JsonNode root) {
        JsonNode node = root.path("prompt");
        String prompt = node.isArray() ? node.path(0).asText("") : node.asText("");
        if (prompt.isEmpty()) {
            return Optional.empty();
        }
        int tail = deliveredSuffixLength("", prompt, "");
        String original = prompt.substring(0, prompt.length() - tail);
        return Optional.of(new SplitPrompt(prompt, original, prompt.substring(original.length())));
    }

    /** Finds the longest end of a text that is the answer to what stands before it. */
    private static int deliveredSuffixLength(String before, String text, String after) {
        int longest = Math.min(ExpectedAnswer.tokenLikeSuffixLength(text), text.length());
        for (int tail = longest; tail > 0; tail -= ExpectedAnswer.TOKEN_CHARS) {
            String original = text.substring(0, text.length() - tail);
            if (ExpectedAnswer.forPrompt(before + original + after).startsWith(text.substring(original.length()))) {
                return tail;
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
     * The parts of a prompt.
     *
     * @param sent the canonical prompt sent
     * @param original the canonical prompt that the caller sent first
     * @param delivered the text delivered before a resume; empty when fresh
     */
    private record SplitPrompt(String sent, String original, String delivered) {}
}
