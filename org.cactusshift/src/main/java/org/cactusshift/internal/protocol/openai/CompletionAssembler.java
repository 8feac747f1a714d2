package org.cactusshift.internal.protocol.openai;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.NullNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Joins the chunks of one answer, which may come from several engines: rewrites them to one id, drops the role that a
 * later engine repeats, and builds the complete response for a caller that doesn't stream.
 */
public final class CompletionAssembler {
    private final CompletionRequest request;
    private final String id;
    private final StringBuilder text = new StringBuilder();
    private final ObjectNode message = Json.newObject();
    private final List<JsonNode> logProbabilities = new ArrayList<>();
    /** The value of the first chunk that had the field, as for the model and the system fingerprint; null before. */
    private JsonNode created;

    private JsonNode model;
    private JsonNode systemFingerprint;
    /** The last finish reason received; null before the first. */
    private String finishReason;

    private boolean hasRole;
    private boolean hasNonTextOutput;

    private CompletionAssembler(CompletionRequest request, String id) {
        this.request = request;
        this.id = id;
    }

    /**
     * Creates an assembler for one answer.
     *
     * @param request the request
     * @param id the id of the response and all its chunks
     * @return the assembler
     */
    public static CompletionAssembler create(CompletionRequest request, String id) {
        return new CompletionAssembler(request, id);
    }

    /**
     * Adds a chunk and rewrites it in place for the caller.
     *
     * @param chunk the chunk of an engine
     * @return whether the chunk is to be sent to the caller: false for a chunk without a choice, which carries the
     *     usage, and for one that only repeats the role
     */
    public boolean add(CompletionChunk chunk) {
        ObjectNode root = chunk.root();
        root.put("id", id);
        // Contains the addresses of engines, which callers must not see.
        root.remove("kv_transfer_params");
        created = replaceWithFirstValue(root, "created", created);
        model = replaceWithFirstValue(root, "model", model);
        systemFingerprint = replaceWithFirstValue(root, "system_fingerprint", systemFingerprint);
        if (request.isUsageIncluded()) {
            root.set("usage", NullNode.getInstance());
        } else {
            root.remove("usage");
        }
        if (!chunk.hasChoice()) {
            return false;
        }
        boolean repeatsRole = hasRole && removeRole(chunk);
        boolean hasNewContent = !chunk.text().isEmpty()
                || chunk.hasNonTextOutput()
                || chunk.finishReason().isPresent();
        hasNonTextOutput |= chunk.hasNonTextOutput();
        text.append(chunk.text());
        chunk.finishReason().ifPresent(reason -> finishReason = reason);
        merge(chunk);
        return hasNewContent || !repeatsRole;
    }

    /** Replaces the value of a field by that of the first chunk, and returns the latter. */
    private static JsonNode replaceWithFirstValue(ObjectNode root, String field, JsonNode first) {
        if (first == null) {
            return root.get(field);
        }
        root.set(field, first);
        return first;
    }

    private static boolean removeRole(CompletionChunk chunk) {
        return chunk.choice().path("delta") instanceof ObjectNode delta && delta.remove("role") != null;
    }

    private void merge(CompletionChunk chunk) {
        JsonNode choice = chunk.choice();
        if (choice.path("logprobs").isObject()) {
            logProbabilities.add(choice.get("logprobs"));
        }
        for (Map.Entry<String, JsonNode> field : choice.path("delta").properties()) {
            hasRole |= field.getKey().equals("role");
            mergeField(message, field.getKey(), field.getValue());
        }
    }

    private static void mergeField(ObjectNode target, String name, JsonNode value) {
        JsonNode present = target.get(name);
        if (value.isNull()) {
            return;
        }
        if (present != null && present.isTextual() && value.isTextual() && !isNeverConcatenated(name)) {
            target.put(name, present.textValue() + value.textValue());
        } else if (value.isArray() && name.equals("tool_calls")) {
            mergeByIndex(target.withArray(name), (ArrayNode) value);
        } else if (present instanceof ObjectNode into && value.isObject()) {
            value.properties().forEach(field -> mergeField(into, field.getKey(), field.getValue()));
        } else {
            target.set(name, value.deepCopy());
        }
    }

    private static boolean isNeverConcatenated(String name) {
        return name.equals("role") || name.equals("id") || name.equals("type");
    }

    private static void mergeByIndex(ArrayNode target, ArrayNode entries) {
        for (JsonNode entry : entries) {
            ObjectNode into = entryAt(target, entry.path("index").asInt(target.size()));
            entry.properties().forEach(field -> mergeField(into, field.getKey(), field.getValue()));
        }
    }

    private static ObjectNode entryAt(ArrayNode target, int index) {
        for (JsonNode entry : target) {
            if (entry.path("index").asInt(-1) == index) {
                return (ObjectNode) entry;
            }
        }
        return target.addObject().put("index", index);
    }

    /**
     * Returns the text of all chunks.
     *
     * @return the text after which another engine would resume
     */
    public String text() {
        return text.toString();
    }

    /**
     * Returns whether another engine can resume after the last chunk.
     *
     * @return false once a chunk carried output other than text, such as a tool call
     */
    public boolean isResumable() {
        return !hasNonTextOutput;
    }

    /**
     * Returns whether the generation has ended.
     *
     * @return true once a chunk carried a finish reason
     */
    public boolean isFinished() {
        return finishReason != null;
    }

    /**
     * Returns a chunk as it is sent to the caller.
     *
     * @param chunk a chunk that was added
     * @return the JSON text
     */
    public String chunkJson(CompletionChunk chunk) {
        return Json.write(chunk.root());
    }

    /**
     * Returns a final chunk with the finish reason "length", for an answer whose engine was lost after the output limit
     * had been reached.
     *
     * @return the chunk, to be passed to {@link #add}
     */
    public CompletionChunk lengthLimitChunk() {
        ObjectNode root = newChunk();
        ObjectNode choice = root.putArray("choices").addObject();
        choice.put("index", 0);
        if (request.kind() == CompletionRequest.Kind.CHAT) {
            choice.putObject("delta");
        } else {
            choice.put("text", "");
        }
        choice.put("finish_reason", "length");
        return CompletionChunk.parse(request.kind(), Json.write(root)).orElseThrow();
    }

    /**
     * Returns the chunk that carries the usage to a caller that asked for it.
     *
     * @param usage the usage of the complete answer
     * @return the JSON text
     */
    public String usageChunkJson(TokenUsage usage) {
        ObjectNode root = newChunk();
        root.putArray("choices");
        root.set("usage", usage.toJson());
        return Json.write(root);
    }

    private ObjectNode newChunk() {
        boolean chat = request.kind() == CompletionRequest.Kind.CHAT;
        return newResponse(chat ? "chat.completion.chunk" : request.kind().object());
    }

    private ObjectNode newResponse(String object) {
        ObjectNode root = Json.newObject();
        root.put("id", id);
        root.put("object", object);
        root.set("created", created);
        root.set("model", model);
        if (systemFingerprint != null) {
            root.set("system_fingerprint", systemFingerprint);
        }
        return root;
    }

    /**
     * Returns the complete response, for a caller that doesn't stream.
     *
     * @param usage the usage of the complete answer
     * @return the JSON text
     */
    public String completeResponseJson(TokenUsage usage) {
        ObjectNode root = newResponse(request.kind().object());
        ObjectNode choice = root.putArray("choices").addObject();
        choice.put("index", 0);
        if (request.kind() == CompletionRequest.Kind.CHAT) {
            choice.set("message", completeMessage());
        } else {
            choice.put("text", text.toString());
        }
        choice.set("logprobs", completeLogProbabilities());
        choice.put("finish_reason", finishReason);
        root.set("usage", usage.toJson());
        return Json.write(root);
    }

    private ObjectNode completeMessage() {
        ObjectNode complete = Json.newObject();
        complete.put("role", message.path("role").asText("assistant"));
        boolean hasOnlyToolCalls = message.has("tool_calls") && text.isEmpty();
        // A message with tool calls alone has null as its content.
        complete.put("content", hasOnlyToolCalls ? null : text.toString());
        message.properties().stream()
                .filter(field ->
                        !field.getKey().equals("role") && !field.getKey().equals("content"))
                .forEach(field -> complete.set(field.getKey(), withoutIndex(field.getValue())));
        complete.putIfAbsent("refusal", NullNode.getInstance());
        return complete;
    }

    private static JsonNode withoutIndex(JsonNode value) {
        JsonNode copy = value.deepCopy();
        if (copy.isArray()) {
            copy.forEach(entry -> {
                if (entry instanceof ObjectNode object) {
                    object.remove("index");
                }
            });
        }
        return copy;
    }

    private JsonNode completeLogProbabilities() {
        if (logProbabilities.isEmpty()) {
            return NullNode.getInstance();
        }
        ObjectNode complete = Json.newObject();
        for (JsonNode part : logProbabilities) {
            part.properties().stream()
                    .filter(field -> field.getValue().isArray())
                    .forEach(field -> complete.withArray(field.getKey()).addAll((ArrayNode) field.getValue()));
        }
        return complete;
    }
}
