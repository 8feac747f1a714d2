package org.cactusshift.internal.protocol.openai;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Optional;

/**
 * A chunk of a streamed response, which is the data of one event. Mutable: {@link CompletionAssembler#add} rewrites it
 * for the caller.
 */
public final class CompletionChunk {
    /** The data of the event that ends a stream. */
    public static final String DONE = "[DONE]";

    private final CompletionRequest.Kind kind;
    private final ObjectNode root;

    private CompletionChunk(CompletionRequest.Kind kind, ObjectNode root) {
        this.kind = kind;
        this.root = root;
    }

    /**
     * Parses the data of an event.
     *
     * @param kind the kind of completion
     * @param data the data
     * @return the chunk, or empty when the data is not a JSON object
     */
    public static Optional<CompletionChunk> parse(CompletionRequest.Kind kind, String data) {
        return Json.readObject(data).map(root -> new CompletionChunk(kind, root));
    }

    /**
     * Returns the code of an error event.
     *
     * @return the code, "" when the error has none, or empty when the chunk is not an error
     */
    public Optional<String> errorCode() {
        JsonNode error = root.get("error");
        return error == null || error.isNull()
                ? Optional.empty()
                : Optional.of(error.path("code").asText(""));
    }

    /**
     * Returns the usage that the chunk carries.
     *
     * @return the usage, or empty when there is none
     */
    public Optional<TokenUsage> usage() {
        return TokenUsage.fromJson(root.get("usage"));
    }

    /**
     * Returns the text that the chunk adds to the answer.
     *
     * @return the text, empty when there is none
     */
    public String text() {
        JsonNode choice = choice();
        JsonNode text =
                kind == CompletionRequest.Kind.CHAT ? choice.path("delta").path("content") : choice.path("text");
        return text.isTextual() ? text.textValue() : "";
    }

    /**
     * Returns why the generation ended.
     *
     * @return the reason, or empty when the generation continues
     */
    public Optional<String> finishReason() {
        JsonNode reason = choice().path("finish_reason");
        return reason.isTextual() ? Optional.of(reason.textValue()) : Optional.empty();
    }

    /**
     * Returns whether the chunk has a choice; the chunk that carries the usage has none.
     *
     * @return true when there is a choice
     */
    public boolean hasChoice() {
        return choice().isObject();
    }

    /**
     * Returns whether the chunk adds output that can't be given to another engine as text, such as a tool call; always
     * false for a text completion.
     */
    boolean hasNonTextOutput() {
        JsonNode delta = choice().path("delta");
        for (Map.Entry<String, JsonNode> field : delta.properties()) {
            boolean isRoleOrContent =
                    field.getKey().equals("role") || field.getKey().equals("content");
            if (!isRoleOrContent && isNonEmpty(field.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean isNonEmpty(JsonNode value) {
        return value.isContainerNode() ? !value.isEmpty() : !value.asText("").isEmpty() && !value.isNull();
    }

    JsonNode choice() {
        return root.path("choices").path(0);
    }

    ObjectNode root() {
        return root;
    }
}
