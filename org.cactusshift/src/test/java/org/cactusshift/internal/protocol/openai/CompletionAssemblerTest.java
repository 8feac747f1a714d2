package org.cactusshift.internal.protocol.openai;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import org.cactusshift.internal.protocol.openai.CompletionRequest.Kind;
import org.junit.jupiter.api.Test;

class CompletionAssemblerTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final TokenUsage USAGE = new TokenUsage(3, 2, 1);

    private static CompletionAssembler assembler(Kind kind) {
        String body = kind == Kind.CHAT
                ? "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}"
                : "{\"model\":\"m\",\"prompt\":\"x\"}";
        CompletionRequest request = CompletionRequestParser.parse(kind, body.getBytes(StandardCharsets.UTF_8))
                .get();
        return CompletionAssembler.create(request, "id-1");
    }

    private static CompletionChunk chunk(Kind kind, String choice) {
        String json = "{\"id\":\"engine\",\"created\":9,\"model\":\"m\",\"usage\":null,\"choices\":[" + choice + "]}";
        return CompletionChunk.parse(kind, json).orElseThrow();
    }

    @Test
    void joinsToolCallsByIndexAndIsNotResumableAfterThem() throws Exception {
        CompletionAssembler assembler = assembler(Kind.CHAT);
        assembler.add(chunk(Kind.CHAT, "{\"delta\":{\"role\":\"assistant\",\"content\":null}}"));
        assertTrue(assembler.isResumable());
        assembler.add(chunk(
                Kind.CHAT,
                "{\"delta\":{\"tool_calls\":[{\"index\":0,\"id\":\"t\",\"type\":\"function\",\"function\":"
                        + "{\"name\":\"pay\",\"arguments\":\"{\\\"a\\\"\"}}]}}"));
        assembler.add(
                chunk(Kind.CHAT, "{\"delta\":{\"tool_calls\":[{\"index\":0,\"function\":{\"arguments\":\":1}\"}}]}}"));
        assembler.add(chunk(Kind.CHAT, "{\"delta\":{},\"finish_reason\":\"tool_calls\"}"));
        assertFalse(assembler.isResumable());
        JsonNode message =
                MAPPER.readTree(assembler.completeResponseJson(USAGE)).at("/choices/0/message");
        assertTrue(message.path("content").isNull());
        assertEquals("{\"a\":1}", message.at("/tool_calls/0/function/arguments").asText());
        assertEquals("pay", message.at("/tool_calls/0/function/name").asText());
        assertFalse(message.at("/tool_calls/0").has("index"));
    }

    @Test
    void mergesChunksOfSeveralEnginesIntoOneResponse() throws Exception {
        CompletionAssembler assembler = assembler(Kind.CHAT);
        assertTrue(assembler.add(chunk(Kind.CHAT, "{\"delta\":{\"role\":\"assistant\",\"content\":\"\"}}")));
        assertTrue(assembler.add(chunk(Kind.CHAT, "{\"delta\":{\"content\":\"a\"}}")));
        assertFalse(assembler.add(chunk(Kind.CHAT, "{\"delta\":{\"role\":\"assistant\",\"content\":\"\"}}")));
        CompletionChunk later = CompletionChunk.parse(
                        Kind.CHAT,
                        "{\"id\":\"other\",\"created\":10,\"model\":\"m2\",\"choices\":[{\"delta\":"
                                + "{\"role\":\"assistant\",\"content\":\"b\"}}]}")
                .orElseThrow();
        assertTrue(assembler.add(later));
        JsonNode json = MAPPER.readTree(assembler.chunkJson(later));
        assertEquals("id-1", json.path("id").asText());
        assertEquals(9, json.path("created").asInt());
        assertEquals("m", json.path("model").asText());
        assertFalse(json.at("/choices/0/delta").has("role"));
        assertEquals("ab", assembler.text());
    }

    @Test
    void buildsACompleteTextCompletion() throws Exception {
        CompletionAssembler assembler = assembler(Kind.TEXT);
        assembler.add(chunk(Kind.TEXT, "{\"index\":0,\"text\":\"a\",\"logprobs\":{\"tokens\":[\"a\"]}}"));
        assembler.add(chunk(
                Kind.TEXT,
                "{\"index\":0,\"text\":\"b\",\"logprobs\":{\"tokens\":[\"b\"]},\"finish_reason\":\"length\"}"));
        JsonNode json = MAPPER.readTree(assembler.completeResponseJson(USAGE));
        assertEquals("text_completion", json.path("object").asText());
        assertEquals("ab", json.at("/choices/0/text").asText());
        assertEquals("length", json.at("/choices/0/finish_reason").asText());
        assertEquals(2, json.at("/choices/0/logprobs/tokens").size());
        assertEquals(5, json.at("/usage/total_tokens").asInt());
    }
}
