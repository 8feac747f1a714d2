package org.cactusshift.internal.transport.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Reads and writes the JSON of the platform's interfaces. */
final class PlatformJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private PlatformJson() {}

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    static byte[] write(ObjectNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException("message can't be written", e);
        }
    }

    /** Reads an answer; one that is not JSON reads as a missing node, in which nothing is found. */
    static JsonNode read(byte[] body) {
        try {
            JsonNode node = MAPPER.readTree(body);
            return node == null ? MissingNode.getInstance() : node;
        } catch (IOException e) {
            return MissingNode.getInstance();
        }
    }

    static String errorCode(byte[] body) {
        return read(body).path("error").path("code").asText("");
    }
}
