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
 * A configuration in the form in which it is sent: head, index and parts.
 *
 * <p>A bundle between nodes may leave out what its receiver has: parts, and the index when the head's delta leads to it
 * from the receiver's.
 *
 * @param head the head
 * @param index the index, if it is sent
 * @param parts the bytes of the parts by name
 */
public record ConfigBundle(ConfigHead head, Optional<ConfigIndex> index, SortedMap<String, byte[]> parts) {
    private static final String HEAD = "head";
    private static final String INDEX = "index";

    /** Checks that nothing is null and wraps the map. */
    public ConfigBundle {
        Objects.requireNonNull(head, "head");
        Objects.requireNonNull(index, "index");
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
        index.ifPresent(sent -> values.put(INDEX, encode(sent)));
        return values;
    }

    /**
     * Returns the bundle of received values.
     *
     * @param values the values by name
     * @return the bundle; its digests are not checked yet
     * @throws IOException if the head is missing or the head or the index is malformed
     */
    public static ConfigBundle fromValues(Map<String, byte[]> values) throws IOException {
        SortedMap<String, byte[]> parts = new TreeMap<>(values);
        byte[] head = parts.remove(HEAD);
        byte[] index = parts.remove(INDEX);
        if (head == null) {
            throw new IOException("a configuration without head");
        }
        Optional<ConfigIndex> decoded =
                index == null ? Optional.empty() : Optional.of(decode(index, ConfigIndex.class));
        return new ConfigBundle(decode(head, ConfigHead.class), decoded, parts);
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
