package org.cactusshift.internal.coordination.configsync;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The list of the parts of one version.
 *
 * @param parts the parts, sorted by name
 */
public record ConfigIndex(List<ConfigPartRef> parts) {
    /** The index without parts. */
    static final ConfigIndex EMPTY = new ConfigIndex(List.of());

    /** Copies the list. */
    public ConfigIndex {
        parts = List.copyOf(parts);
    }

    /** Returns the digest of the encoded index. */
    String digest() {
        return Digests.sha256(ConfigBundle.encode(this));
    }

    /** Returns the parts by name. */
    Map<String, ConfigPartRef> byName() {
        return parts.stream().collect(Collectors.toMap(ConfigPartRef::name, Function.identity()));
    }

    /** Returns the delta from a previous index to this one. */
    ConfigIndexDelta deltaFrom(ConfigIndex previous) {
        Set<ConfigPartRef> previousParts = new HashSet<>(previous.parts());
        List<ConfigPartRef> changed =
                parts.stream().filter(part -> !previousParts.contains(part)).toList();
        Set<String> removed = new HashSet<>(previous.byName().keySet());
        removed.removeAll(byName().keySet());
        return new ConfigIndexDelta(changed, removed.stream().sorted().toList());
    }

    /** Returns the index that results from applying a delta to this one. */
    ConfigIndex apply(ConfigIndexDelta delta) {
        SortedMap<String, ConfigPartRef> result = new TreeMap<>(byName());
        delta.removed().forEach(result::remove);
        delta.changed().forEach(part -> result.put(part.name(), part));
        return new ConfigIndex(Collections.unmodifiableList(new ArrayList<>(result.values())));
    }
}
