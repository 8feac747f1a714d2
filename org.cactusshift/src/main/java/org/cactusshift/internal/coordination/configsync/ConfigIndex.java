package org.cactusshift.internal.coordination.configsync;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * The parts of one version.
 *
 * @param parts the parts, sorted by name
 * @param replacedKeys the store keys that the version before used and this one does not
 */
public record ConfigIndex(List<ConfigPartRef> parts, List<String> replacedKeys) {
    /** The index of no configuration. */
    static final ConfigIndex EMPTY = new ConfigIndex(List.of(), List.of());

    /** Copies the lists. */
    public ConfigIndex {
        parts = List.copyOf(parts);
        replacedKeys = List.copyOf(replacedKeys);
    }

    /** Returns the part with a name and a digest. */
    Optional<ConfigPartRef> find(String name, String digest) {
        return parts.stream()
                .filter(part -> part.name().equals(name) && part.digest().equals(digest))
                .findFirst();
    }

    /** Returns the digest of each part by its name. */
    Map<String, String> digests() {
        return parts.stream().collect(Collectors.toMap(ConfigPartRef::name, ConfigPartRef::digest));
    }
}
