package org.cactusshift.internal.protocol.openai;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** Builds the body that an engine receives for a request. The engine is always asked to stream and to report usage. */
public final class EngineRequest {
    /** The priority of a request that has delivered nothing yet. */
    private static final int FRESH_PRIORITY = 0;
    /** The priority of a request whose caller has already waited at another engine; lower is sooner. */
    private static final int RESUMED_PRIORITY = -1;

    /** Fields that callers must not set: the first would overtake others, the second names other callers' caches. */
    private static final List<String> RESERVED_FIELDS = List.of("priority", "kv_transfer_params");

    private EngineRequest() {}

    /**
     * Returns the body of a first attempt.
     *
     * @param request the request
     * @return the JSON bytes
     */
    public static byte[] fresh(CompletionRequest request) {
        return Json.writeBytes(base(request, FRESH_PRIORITY));
    }

    /**
     * Returns the body of an attempt that goes on after text that was already delivered.
     *
     * @param request the request
     * @param delivered the text delivered so far, not empty
     * @param deliveredTokens the tokens delivered so far
     * @return the JSON bytes
     */
    public static byte[] resumed(CompletionRequest request, String delivered, long deliveredTokens) {
        ObjectNode root = base(request, RESUMED_PRIORITY);
        if (request.kind() == CompletionRequest.Kind.CHAT) {
            appendToMessages(root, delivered);
        } else {
            JsonNode prompt = root.get("prompt");
            String text = prompt.isArray() ? prompt.get(0).textValue() : prompt.textValue();
            root.put("prompt", text + delivered);
        }
        reduceLimit(root, "max_tokens", deliveredTokens);
        reduceLimit(root, "max_completion_tokens", deliveredTokens);
        return Json.writeBytes(root);
    }

    private static ObjectNode base(CompletionRequest request, int priority) {
        ObjectNode root = request.copyOfRoot();
        root.remove(RESERVED_FIELDS);
        root.put("priority", priority);
        root.put("stream", true);
        JsonNode options = root.get("stream_options");
        ObjectNode streamOptions = options instanceof ObjectNode object ? object : root.putObject("stream_options");
        streamOptions.put("include_usage", true);
        return root;
    }

    private static void appendToMessages(ObjectNode root, String delivered) {
        ArrayNode messages = (ArrayNode) root.get("messages");
        JsonNode last = messages.get(messages.size() - 1);
        boolean continuesCallersText = root.path("continue_final_message").asBoolean(false)
                && last.path("role").asText().equals("assistant")
                && last.path("content").isTextual();
        if (continuesCallersText) {
            ((ObjectNode) last).put("content", last.get("content").textValue() + delivered);
        } else {
            messages.addObject().put("role", "assistant").put("content", delivered);
        }
        root.put("continue_final_message", true);
        root.put("add_generation_prompt", false);
    }

    private static void reduceLimit(ObjectNode root, String field, long deliveredTokens) {
        JsonNode limit = root.get(field);
        if (limit != null && limit.isIntegralNumber()) {
            root.put(field, Math.max(1, limit.longValue() - deliveredTokens));
        }
    }
}
