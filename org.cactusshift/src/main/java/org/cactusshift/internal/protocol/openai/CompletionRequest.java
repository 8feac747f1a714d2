package org.cactusshift.internal.protocol.openai;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A validated request for a chat or text completion. Immutable; the JSON tree is never exposed. */
public final class CompletionRequest {
    /** The kind of a completion. */
    public enum Kind {
        /** {@code /v1/chat/completions}. */
        CHAT("/v1/chat/completions", "chat.completion"),
        /** {@code /v1/completions}. */
        TEXT("/v1/completions", "text_completion");

        private final String path;
        private final String object;

        Kind(String path, String object) {
            this.path = path;
            this.object = object;
        }

        /**
         * Returns the path of the API call.
         *
         * @return the path, the same at the gateway and at engines
         */
        public String path() {
            return path;
        }

        /** Returns the value of the field {@code object} in complete responses. */
        String object() {
            return object;
        }
    }

    /** The output length that is assumed for a request without an output limit, in tokens. */
    private static final long ASSUMED_OUTPUT_TOKENS = 1024;

    private final Kind kind;
    private final ObjectNode root;
    private final String model;
    /**
     * The text from which the length of the prompt and the hashes of its prefixes are computed: the prompt itself, or
     * the role and the content of each message, each followed by a line feed.
     */
    private final String canonicalPrompt;

    CompletionRequest(Kind kind, ObjectNode root, String model, String canonicalPrompt) {
        this.kind = kind;
        this.root = root;
        this.model = model;
        this.canonicalPrompt = canonicalPrompt;
    }

    /**
     * Returns the kind of the completion.
     *
     * @return the kind
     */
    public Kind kind() {
        return kind;
    }

    /**
     * Returns the model's name as the caller gave it.
     *
     * @return the name, not empty
     */
    public String model() {
        return model;
    }

    /**
     * Returns whether the caller wants server-sent events.
     *
     * @return true for a streamed response
     */
    public boolean isStreamed() {
        return root.path("stream").asBoolean(false);
    }

    /**
     * Returns whether a streamed response ends with a chunk that carries the usage.
     *
     * @return true when the caller asked for it
     */
    public boolean isUsageIncluded() {
        return root.path("stream_options").path("include_usage").asBoolean(false);
    }

    /**
     * Estimates the length of the prompt from its number of characters.
     *
     * @return the estimated length, in tokens
     */
    public long promptTokens() {
        return TokenUsage.estimateTokens(canonicalPrompt.length());
    }

    /**
     * Estimates by how much the prompt of a resumed attempt is longer than the caller's.
     *
     * @param delivered the delivered text after which the attempt resumes
     * @return the difference, in tokens; 0 when nothing was delivered
     */
    public long resumeTokens(String delivered) {
        if (delivered.isEmpty()) {
            return 0;
        }
        // The canonical form of a further message of the assistant, apart from its content.
        int framing = kind == Kind.CHAT ? "assistant\n\n".length() : 0;
        return TokenUsage.estimateTokens((long) canonicalPrompt.length() + delivered.length() + framing)
                - promptTokens();
    }

    /**
     * Returns the maximum number of tokens that may be generated.
     *
     * @return the caller's limit, {@code max_completion_tokens} or else {@code max_tokens}, or an assumed output length
     *     when there is none, in tokens
     */
    public long maximumOutputTokens() {
        return hasOutputLimit() ? outputLimitTokens() : ASSUMED_OUTPUT_TOKENS;
    }

    /**
     * Returns whether the caller limits the output.
     *
     * @return true when {@link #maximumOutputTokens} is the caller's own limit
     */
    public boolean hasOutputLimit() {
        return root.hasNonNull("max_completion_tokens") || root.hasNonNull("max_tokens");
    }

    private long outputLimitTokens() {
        return root.hasNonNull("max_completion_tokens")
                ? root.get("max_completion_tokens").longValue()
                : root.get("max_tokens").longValue();
    }

    /**
     * Returns the hashes of the prompt's prefixes.
     *
     * @return one hash for each complete KV-cache block of 2,048 tokens, estimated as 8,192 characters; it covers the
     *     prompt from its start to the end of the block
     */
    public List<Long> prefixHashes() {
        return PromptPrefixes.hashes(canonicalPrompt);
    }

    /**
     * Returns the hashes of the parts of the prompt that other requests may have too.
     *
     * @return one hash for each message of a chat but the last; empty for a text completion
     */
    public List<Long> sharedPartHashes() {
        List<Long> hashes = new ArrayList<>();
        JsonNode messages = root.path("messages");
        for (int i = 0; i < messages.size() - 1; i++) {
            byte[] message = messages.get(i).toString().getBytes(StandardCharsets.UTF_8);
            hashes.add(ByteBuffer.wrap(PromptPrefixes.sha256().digest(message)).getLong());
        }
        return hashes;
    }

    ObjectNode copyOfRoot() {
        return root.deepCopy();
    }
}
