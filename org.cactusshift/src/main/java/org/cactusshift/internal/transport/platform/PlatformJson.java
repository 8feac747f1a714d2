package org.cactusshift.internal.transport.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Reads and writes the JSON messages of the platform's interfaces and the engines' order interface. */
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
            throw new UncheckedIOException("JSON message could not be serialized", e);
        }
    }

    /** Parses a response body. A body that is not JSON yields a missing node, which has no fields. */
    static JsonNode read(byte[] body) {
        try {
            JsonNode node = MAPPER.readTree(body);
            return node == null ? MissingNode.getInstance() : node;
        } catch (IOException e) {
            return MissingNode.getInstance();
        }
    }

    /** Returns the error code of a response body; empty if there is none. */
    static String errorCode(byte[] body) {
        return read(body).path("error").path("code").asText("");
    }
}
