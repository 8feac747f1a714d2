package org.cactusshift.standin.engine;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** Encodes the response bodies of an engine as JSON. */
final class EngineResponseJson {
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private EngineResponseJson() {}

    static ObjectNode completeResponse(GenerateRequest request, String attemptId, String text, ObjectNode usage) {
        ObjectNode root = root(request, attemptId, request.chat() ? "chat.completion" : "text_completion");
        ObjectNode choice = root.putArray("choices").addObject().put("index", 0);
        if (request.chat()) {
            choice.putObject("message").put("role", "assistant").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.put("finish_reason", "length");
        root.set("usage", usage);
        return root;
    }

    static ObjectNode firstChunk(GenerateRequest request, String attemptId) {
        ObjectNode root = chunkRoot(request, attemptId);
        ObjectNode choice = root.putArray("choices").addObject().put("index", 0);
        if (request.chat()) {
            choice.putObject("delta").put("role", "assistant").put("content", "");
        } else {
            choice.put("text", "");
        }
        choice.putNull("finish_reason");
        return root;
    }

    static ObjectNode tokenChunk(GenerateRequest request, String attemptId, String token) {
        ObjectNode root = chunkRoot(request, attemptId);
        ObjectNode choice = root.putArray("choices").addObject().put("index", 0);
        if (request.chat()) {
            choice.putObject("delta").put("content", token);
        } else {
            choice.put("text", token);
        }
        choice.putNull("finish_reason");
        return root;
    }

    static ObjectNode lastChunk(GenerateRequest request, String attemptId) {
        ObjectNode root = chunkRoot(request, attemptId);
        ObjectNode choice = root.putArray("choices").addObject().put("index", 0);
        if (request.chat()) {
            choice.putObject("delta");
        } else {
            choice.put("text", "");
        }
        choice.put("finish_reason", "length");
        return root;
    }

    static ObjectNode usageChunk(GenerateRequest request, String attemptId, ObjectNode usage) {
        ObjectNode root = chunkRoot(request, attemptId);
        root.putArray("choices");
        root.set("usage", usage);
        return root;
    }

    static ObjectNode usage(int promptTokens, int completionTokens, int cachedTokens) {
        ObjectNode usage = NODES.objectNode()
                .put("prompt_tokens", promptTokens)
                .put("completion_tokens", completionTokens)
                .put("total_tokens", promptTokens + completionTokens);
        usage.putObject("prompt_tokens_details").put("cached_tokens", cachedTokens);
        return usage;
    }

    static ObjectNode load(LoadReport report, int totalBlocks, boolean draining, long epoch, long nowMillis) {
        return NODES.objectNode()
                .put("age_millis", nowMillis - report.measuredAtMillis())
                .put("role", report.role().name().toLowerCase(Locale.ROOT))
                .put("running", report.running())
                .put("waiting", report.waiting())
                .put("queued_prefill_tokens", report.pendingPrefillTokens())
                .put("used_pieces", report.usedBlocks())
                .put("total_pieces", totalBlocks)
                .put("prefill_tokens_per_second", report.prefillTokensPerSecond())
                .put("decode_tokens_per_second", report.decodeTokensPerSecond())
                .put("version", report.version())
                .put("changing", report.outOfService())
                .put("draining", draining)
                .put("epoch", epoch);
    }

    private static ObjectNode chunkRoot(GenerateRequest request, String attemptId) {
        return root(request, attemptId, request.chat() ? "chat.completion.chunk" : "text_completion");
    }

    private static ObjectNode root(GenerateRequest request, String attemptId, String object) {
        return NODES.objectNode()
                .put("id", (request.chat() ? "chatcmpl-" : "cmpl-") + attemptId)
                .put("object", object)
                .put("created", TimeUnit.MILLISECONDS.toSeconds(System.currentTimeMillis()))
                .put("model", request.model());
    }
}
