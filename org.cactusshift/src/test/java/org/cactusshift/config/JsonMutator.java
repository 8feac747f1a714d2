package org.cactusshift.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Mutates JSON documents at random. */
final class JsonMutator {
    private static final String[] VALUES = {
        "null",
        "true",
        "[]",
        "{}",
        "[[[]]]",
        "0",
        "-1",
        "0.0",
        "-0.0",
        "1e308",
        "1e-308",
        "1e999",
        "2147483648",
        "9223372036854775808",
        "123456789012345678901234567890",
        "\"\"",
        "\"\\u0000\"",
        "\"MODEL\"",
        "\"PREFILL\"",
        "\"127.0.0.1:99999\"",
        "\"999.0.0.1:80\"",
        "\"[::1]:80\"",
        "\"+292278994-08-17\"",
        "\"0000-00-00\"",
        "\"hmac-sha256:zz\"",
        "{\"id\":\"x\"}",
        "{\"\":{}}",
        "{\"/~\":{}}",
    };

    private final Random random;

    JsonMutator(long seed) {
        this.random = new Random(seed);
    }

    /** Returns the encoded document with up to 4 values added, replaced, removed or copied to another field name. */
    byte[] mutateTree(JsonNode document) throws Exception {
        JsonNode copy = document.deepCopy();
        int changes = 1 + random.nextInt(4);
        for (int i = 0; i < changes; i++) {
            List<JsonNode> containers = new ArrayList<>();
            collect(copy, containers);
            change(containers.get(random.nextInt(containers.size())));
        }
        return copy.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the bytes after up to 8 changes: a byte replaced, removed or duplicated, or the end cut off. */
    byte[] mutateBytes(byte[] bytes) {
        StringBuilder text = new StringBuilder(new String(bytes, StandardCharsets.ISO_8859_1));
        int changes = 1 + random.nextInt(8);
        for (int i = 0; i < changes; i++) {
            int at = random.nextInt(text.length());
            switch (random.nextInt(4)) {
                case 0 -> text.setCharAt(at, (char) random.nextInt(256));
                case 1 -> text.deleteCharAt(at);
                case 2 -> text.insert(at, text.charAt(at));
                default -> text.setLength(Math.max(2, at));
            }
        }
        return text.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    private static void collect(JsonNode node, List<JsonNode> containers) {
        if (node.isContainerNode()) {
            containers.add(node);
            node.forEach(child -> collect(child, containers));
        }
    }

    /** Inserts or changes a value at random, now and then a number out of the range of a double. */
    private void change(JsonNode container) throws Exception {
        JsonNode value = random.nextInt(10) == 0
                ? Json.mapper().getNodeFactory().numberNode(new BigDecimal("1e400"))
                : Json.mapper().readTree(VALUES[random.nextInt(VALUES.length)]);
        if (container instanceof ArrayNode array) {
            if (array.isEmpty() || random.nextBoolean()) {
                array.add(value);
            } else {
                array.set(random.nextInt(array.size()), value);
            }
        } else {
            changeField((ObjectNode) container, value);
        }
    }

    private void changeField(ObjectNode object, JsonNode value) {
        List<Map.Entry<String, JsonNode>> fields = new ArrayList<>(object.properties());
        if (fields.isEmpty()) {
            object.set("added", value);
            return;
        }
        Map.Entry<String, JsonNode> field = fields.get(random.nextInt(fields.size()));
        switch (random.nextInt(4)) {
            case 0 -> object.remove(field.getKey());
            case 1 -> object.set(field.getKey() + random.nextInt(3), field.getValue());
            default -> object.set(field.getKey(), value);
        }
    }
}
