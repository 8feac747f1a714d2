package org.cactusshift.internal.protocol.openai;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.cfg.JsonNodeFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Optional;

/**
 * Reads JSON from untrusted sources and writes JSON. Nesting and the lengths of strings and numbers are bounded, only
 * one value is accepted, and numbers are exact.
 */
final class Json {
    private static final int MAXIMUM_NESTING_DEPTH = 100;
    private static final int MAXIMUM_STRING_CHARS = 64 * 1024 * 1024;
    private static final int MAXIMUM_NUMBER_CHARS = 100;

    private static final ObjectMapper MAPPER = JsonMapper.builder(JsonFactory.builder()
                    .streamReadConstraints(StreamReadConstraints.builder()
                            .maxNestingDepth(MAXIMUM_NESTING_DEPTH)
                            .maxStringLength(MAXIMUM_STRING_CHARS)
                            .maxNumberLength(MAXIMUM_NUMBER_CHARS)
                            .build())
                    .build())
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            // Unknown fields are forwarded, so numbers must not lose digits.
            .enable(DeserializationFeature.USE_BIG_DECIMAL_FOR_FLOATS)
            .disable(JsonNodeFeature.STRIP_TRAILING_BIGDECIMAL_ZEROES)
            .build();

    private Json() {}

    /** Parses the bytes; returns empty when they are not one JSON object. */
    static Optional<ObjectNode> readObject(byte[] bytes) {
        try {
            JsonNode node = MAPPER.readTree(bytes);
            return node instanceof ObjectNode object ? Optional.of(object) : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    static Optional<ObjectNode> readObject(String text) {
        try {
            JsonNode node = MAPPER.readTree(text);
            return node instanceof ObjectNode object ? Optional.of(object) : Optional.empty();
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }

    static ObjectNode newObject() {
        return MAPPER.createObjectNode();
    }

    static String write(JsonNode node) {
        try {
            return MAPPER.writeValueAsString(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write a JSON tree", e);
        }
    }

    static byte[] writeBytes(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write a JSON tree", e);
        }
    }
}
