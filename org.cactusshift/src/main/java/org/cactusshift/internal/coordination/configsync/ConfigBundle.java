package org.cactusshift.internal.coordination.configsync;

import java.io.IOException;
import java.util.Collections;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.cactusshift.config.Json;

/**
 * A configuration as head, index and encoded parts, the form in which it is stored and sent between nodes.
 *
 * <p>A bundle sent between nodes may omit what the receiver already has: unchanged parts, and the index if the receiver
 * can derive it from its own index and the head's delta.
 *
 * @param head the head
 * @param index the index; empty when the receiver can derive it
 * @param parts the bytes of the parts by name
 */
public record ConfigBundle(ConfigHead head, Optional<ConfigIndex> index, SortedMap<String, byte[]> parts) {
    private static final String HEAD = "head";
    private static final String INDEX = "index";

    /** Checks that no component is null and copies the map. */
    public ConfigBundle {
        Objects.requireNonNull(head, "head");
        Objects.requireNonNull(index, "index");
        parts = Collections.unmodifiableSortedMap(new TreeMap<>(parts));
    }

    /**
     * Encodes this bundle as named values.
     *
     * @return the values by name; the names of head and index are {@code head} and {@code index}
     */
    public Map<String, byte[]> toValues() {
        Map<String, byte[]> values = new TreeMap<>(parts);
        values.put(HEAD, encode(head));
        index.ifPresent(present -> values.put(INDEX, encode(present)));
        return values;
    }

    /**
     * Decodes a bundle from named values.
     *
     * @param values the values by name
     * @return the bundle; its digests have not been verified
     * @throws IOException if the head is missing or the head or the index is malformed
     */
    public static ConfigBundle fromValues(Map<String, byte[]> values) throws IOException {
        SortedMap<String, byte[]> parts = new TreeMap<>(values);
        byte[] head = parts.remove(HEAD);
        byte[] index = parts.remove(INDEX);
        if (head == null) {
            throw new IOException("configuration bundle has no head");
        }
        Optional<ConfigIndex> decoded =
                index == null ? Optional.empty() : Optional.of(decode(index, ConfigIndex.class));
        return new ConfigBundle(decode(head, ConfigHead.class), decoded, parts);
    }

    static byte[] encode(Object value) {
        return Json.canonicalBytes(Json.mapper().valueToTree(value));
    }

    /** Decodes a stored value; throws an {@link IOException} for malformed bytes of any kind. */
    static <T> T decode(byte[] bytes, Class<T> type) throws IOException {
        T value = Json.mapper().readValue(bytes, type);
        if (value == null) {
            throw new IOException("expected " + type.getSimpleName() + " but found JSON null");
        }
        return value;
    }
}
