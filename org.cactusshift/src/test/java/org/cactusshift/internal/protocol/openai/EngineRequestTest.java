package org.cactusshift.internal.protocol.openai;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.cactusshift.internal.protocol.openai.CompletionRequest.Kind;
import org.junit.jupiter.api.Test;

class EngineRequestTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static CompletionRequest parse(Kind kind, String body) {
        return CompletionRequestParser.parse(kind, body.getBytes(StandardCharsets.UTF_8))
                .get();
    }

    @Test
    void replacesReservedFields() throws Exception {
        CompletionRequest request = parse(
                Kind.TEXT,
                "{\"model\":\"m\",\"prompt\":\"p\",\"priority\":-9,"
                        + "\"kv_transfer_params\":{\"remote_host\":\"h\"},\"x\":1}");
        JsonNode body = MAPPER.readTree(EngineRequest.initial(request).toBytes());
        assertFalse(body.has("kv_transfer_params"));
        assertEquals(0, body.path("priority").asInt());
        assertEquals(1, body.path("x").asInt());
        assertTrue(body.path("stream").asBoolean());
    }

    @Test
    void resumesATextCompletionAfterTheDeliveredText() throws Exception {
        CompletionRequest request = parse(Kind.TEXT, "{\"model\":\"m\",\"prompt\":[\"p\"],\"max_tokens\":10}");
        JsonNode body =
                MAPPER.readTree(EngineRequest.resumed(request, " and q", 2).toBytes());
        assertEquals("p and q", body.path("prompt").asText());
        assertEquals(8, body.path("max_tokens").asInt());
        // A resumed request is served before initial ones, whose priority is 0: lower values are served first.
        assertTrue(body.path("priority").asInt() < 0);
    }

    @Test
    void appendsDeliveredTextToTheCallersFinalMessage() throws Exception {
        CompletionRequest request = parse(
                Kind.CHAT,
                "{\"model\":\"m\",\"continue_final_message\":true,"
                        + "\"messages\":[{\"role\":\"assistant\",\"content\":\"a\"}]}");
        JsonNode body = MAPPER.readTree(EngineRequest.resumed(request, "b", 1).toBytes());
        assertEquals(1, body.path("messages").size());
        assertEquals("ab", body.at("/messages/0/content").asText());
        assertFalse(body.path("add_generation_prompt").asBoolean(true));
    }

    @Test
    void hashesOnlyPrefixesOfCompleteBlocks() throws Exception {
        // The surrogate pair lies across the end of the first block of 8,192 characters.
        String prompt = "a".repeat(8191) + "😀" + "b".repeat(8192);
        List<Long> hashes = PromptPrefixes.hashes(prompt);
        assertEquals(2, hashes.size());
        for (int block = 1; block <= 2; block++) {
            byte[] prefix = prompt.substring(0, block * 8192).getBytes(StandardCharsets.UTF_8);
            byte[] digest = java.security.MessageDigest.getInstance("SHA-256").digest(prefix);
            assertEquals(java.nio.ByteBuffer.wrap(digest).getLong(), hashes.get(block - 1));
        }
        assertTrue(PromptPrefixes.hashes("a".repeat(8191)).isEmpty());
    }
}
