package org.cactusshift.internal.protocol.openai;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;

/** Builds the request body that an engine receives. The engine is always asked to stream and to report usage. */
public final class EngineRequest {
    /** The priority of a request of which nothing has been delivered yet. */
    private static final int INITIAL_PRIORITY = 0;
    /** The priority of a request that resumes after delivered text; lower values are served first. */
    private static final int RESUMED_PRIORITY = -1;

    private static final String KV_TRANSFER = "kv_transfer_params";

    /**
     * Fields that callers must not set: the first would let a request overtake others, the second could name the KV
     * cache of other callers.
     */
    private static final List<String> RESERVED_FIELDS = List.of("priority", KV_TRANSFER);

    private final ObjectNode root;

    private EngineRequest(ObjectNode root) {
        this.root = root;
    }

    /**
     * Builds the request of an attempt that starts from the beginning.
     *
     * @param request the caller's request
     * @return the engine's request
     */
    public static EngineRequest initial(CompletionRequest request) {
        return new EngineRequest(base(request, INITIAL_PRIORITY));
    }

    /**
     * Builds the request of an attempt that resumes after text that was already delivered.
     *
     * @param request the caller's request
     * @param delivered the text delivered so far, not empty
     * @param deliveredTokens the number of output tokens delivered so far
     * @return the engine's request
     */
    public static EngineRequest resumed(CompletionRequest request, String delivered, long deliveredTokens) {
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
        return new EngineRequest(root);
    }

    /**
     * Returns the body for an engine that does both prefill and decode.
     *
     * @return the JSON bytes
     */
    public byte[] toBytes() {
        return Json.writeBytes(root);
    }

    /**
     * Returns the body for a prefill engine, which processes the prompt and exports its KV cache.
     *
     * @return the JSON bytes
     */
    public byte[] toPrefillBytes() {
        ObjectNode prefill = root.deepCopy();
        prefill.put("stream", false);
        prefill.remove("stream_options");
        prefill.remove("max_completion_tokens");
        prefill.put("max_tokens", 1);
        prefill.putObject(KV_TRANSFER).put("do_remote_decode", true);
        return Json.writeBytes(prefill);
    }

    /**
     * Returns the body for a decode engine, which imports the KV cache of the prefill engine.
     *
     * @param prefillResponse the response of the prefill engine
     * @return the JSON bytes, or empty when the response names no KV cache
     */
    public Optional<byte[]> toDecodeBytes(byte[] prefillResponse) {
        return Json.readObject(prefillResponse)
                .map(response -> response.get(KV_TRANSFER))
                .filter(JsonNode::isObject)
                .map(transfer -> {
                    ObjectNode decode = root.deepCopy();
                    decode.set(KV_TRANSFER, transfer);
                    return Json.writeBytes(decode);
                });
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
