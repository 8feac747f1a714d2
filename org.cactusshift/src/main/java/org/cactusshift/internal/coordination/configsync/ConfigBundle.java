package org.cactusshift.internal.coordination.configsync;

import java.io.IOException;
import java.util.Collections;
import java.util.Map;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;
import org.cactusshift.config.Json;

/**
 * A configuration in the form in which it is stored and sent: head, index and parts.
 *
 * <p>A bundle between nodes may leave out parts that its receiver has.
 *
 * @param head the head
 * @param indexBytes the bytes of the index, as the head's digest covers them
 * @param parts the bytes of the parts by name
 */
public record ConfigBundle(ConfigHead head, byte[] indexBytes, SortedMap<String, byte[]> parts) {
    private static final String HEAD = "head";
    private static final String INDEX = "index";

    /** Checks that no part is missing and wraps the map. */
    public ConfigBundle {
        Objects.requireNonNull(head, "head");
        Objects.requireNonNull(indexBytes, "indexBytes");
        parts = Collections.unmodifiableSortedMap(new TreeMap<>(parts));
    }

    /**
     * Returns the values to send, by name.
     *
     * @return the values; the head and the index have the names {@code head} and {@code index}
     */
    public Map<String, byte[]> toValues() {
        Map<String, byte[]> values = new TreeMap<>(parts);
        values.put(HEAD, encode(head));
        values.put(INDEX, indexBytes);
        return values;
    }

    /**
     * Returns the bundle of received values.
     *
     * @param values the values by name
     * @return the bundle; its digests are not checked yet
     * @throws IOException if the head or the index is missing or malformed
     */
    public static ConfigBundle fromValues(Map<String, byte[]> values) throws IOException {
        SortedMap<String, byte[]> parts = new TreeMap<>(values);
        byte[] head = parts.remove(HEAD);
        byte[] index = parts.remove(INDEX);
        if (head == null || index == null) {
            throw new IOException("a configuration without head or index");
        }
        return new ConfigBundle(decode(head, ConfigHead.class), index, parts);
    }

    /** Returns the index. */
    ConfigIndex index() throws IOException {
        return decode(indexBytes, ConfigIndex.class);
    }

    static byte[] encode(Object value) {
        return Json.canonicalBytes(Json.mapper().valueToTree(value));
    }

    /** Decodes a stored value; malformed bytes of whatever kind are an {@link IOException}. */
    static <T> T decode(byte[] bytes, Class<T> type) throws IOException {
        T value = Json.mapper().readValue(bytes, type);
        if (value == null) {
            throw new IOException("null in place of " + type.getSimpleName());
        }
        return value;
    }
}
