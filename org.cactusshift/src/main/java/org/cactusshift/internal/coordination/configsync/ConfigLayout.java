package org.cactusshift.internal.coordination.configsync;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.zip.CRC32;
import org.cactusshift.config.Json;
import org.cactusshift.config.SiteConfigFields;

/**
 * Splits the JSON tree of a configuration into parts that fit into store values.
 *
 * <p>Accounts and upstreams are partitioned by the hash of their id, with at most
 * {@link #MAXIMUM_AVERAGE_ITEMS_PER_PART} items in a part on average; the number of parts is a power of two. A change
 * of one account thus writes and sends one small part. The services are in one part, and the other top-level fields are
 * in another. Merging all parts gives the tree.
 */
final class ConfigLayout {
    static final int MAXIMUM_AVERAGE_ITEMS_PER_PART = 32;

    private static final String REST_PART = "rest";

    private ConfigLayout() {}

    /** Splits a tree; returns the encoded parts by name. */
    static SortedMap<String, byte[]> split(ObjectNode tree) {
        Map<String, ObjectNode> parts = new TreeMap<>();
        for (Map.Entry<String, JsonNode> field : tree.properties()) {
            if (isPartitioned(field.getKey())) {
                partition(field.getKey(), field.getValue(), parts);
            } else {
                getOrCreatePart(parts, partNameOf(field.getKey())).set(field.getKey(), field.getValue());
            }
        }
        SortedMap<String, byte[]> encoded = new TreeMap<>();
        parts.forEach((name, part) -> encoded.put(name, Json.canonicalBytes(part)));
        return encoded;
    }

    /**
     * Merges parts into the tree of the configuration.
     *
     * @throws IOException if a part is not valid JSON
     */
    static ObjectNode merge(Map<String, byte[]> parts) throws IOException {
        ObjectNode tree = JsonNodeFactory.instance.objectNode();
        for (byte[] part : parts.values()) {
            JsonNode content = Json.mapper().readTree(part);
            for (Map.Entry<String, JsonNode> field : content.properties()) {
                if (isPartitioned(field.getKey()) && tree.has(field.getKey())) {
                    ((ObjectNode) tree.get(field.getKey())).setAll((ObjectNode) field.getValue());
                } else {
                    tree.set(field.getKey(), field.getValue());
                }
            }
        }
        return tree;
    }

    private static boolean isPartitioned(String field) {
        return field.equals(SiteConfigFields.ACCOUNTS) || field.equals(SiteConfigFields.UPSTREAMS);
    }

    private static String partNameOf(String field) {
        return field.equals(SiteConfigFields.SERVICES) ? field : REST_PART;
    }

    private static void partition(String field, JsonNode items, Map<String, ObjectNode> parts) {
        int count = partCount(items.size());
        // Part 0 exists also without items, so that the merged tree has the field.
        getOrCreatePart(parts, numberedPartName(field, 0)).putObject(field);
        for (Map.Entry<String, JsonNode> item : items.properties()) {
            String part = numberedPartName(field, hash(item.getKey()) & (count - 1));
            ObjectNode target = getOrCreatePart(parts, part);
            ObjectNode content = target.has(field) ? (ObjectNode) target.get(field) : target.putObject(field);
            content.set(item.getKey(), item.getValue());
        }
    }

    private static ObjectNode getOrCreatePart(Map<String, ObjectNode> parts, String name) {
        return parts.computeIfAbsent(name, unused -> JsonNodeFactory.instance.objectNode());
    }

    /** Returns the number of parts for a number of items, a power of two. */
    static int partCount(int items) {
        int minimum = Math.max(1, (items + MAXIMUM_AVERAGE_ITEMS_PER_PART - 1) / MAXIMUM_AVERAGE_ITEMS_PER_PART);
        int powerOfTwo = Integer.highestOneBit(minimum);
        return powerOfTwo == minimum ? powerOfTwo : powerOfTwo * 2;
    }

    private static String numberedPartName(String field, int number) {
        return String.format("%s-%05d", field, number);
    }

    private static int hash(String id) {
        CRC32 crc = new CRC32();
        crc.update(id.getBytes(StandardCharsets.UTF_8));
        return (int) crc.getValue();
    }
}
