package org.cactusshift.internal.coordination.configsync;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.cactusshift.config.SiteConfig;

/**
 * The configuration installed at this node, whole and checked, and the differences to recent versions.
 *
 * <p>Only a higher version replaces an installed one. Safe for several threads; does no I/O.
 */
final class ConfigReplica {
    private static final int RETAINED_VERSIONS = 64;

    private final Object lock = new Object();
    private final ConfigAssembler assembler = new ConfigAssembler();
    private final Map<Long, Map<String, String>> digestsByVersion = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Map<String, String>> eldest) {
            return size() > RETAINED_VERSIONS;
        }
    };
    private ConfigBundle bundle;
    private VersionedConfig installed;

    /** What became of an offered bundle. */
    enum OfferResult {
        /** It is installed now. */
        INSTALLED,
        /** It is not newer than the installed one. */
        NOT_NEWER,
        /** It leaves out a part that this node does not have. */
        INCOMPLETE,
        /** A digest does not match or a part is malformed. */
        CORRUPT
    }

    /** Installs a bundle if it is newer, whole together with what is installed, and intact. */
    OfferResult offer(ConfigBundle offered) {
        synchronized (lock) {
            if (offered.head().version() <= version()) {
                return OfferResult.NOT_NEWER;
            }
            Optional<ConfigIndex> index = offered.index().or(() -> deriveIndex(offered.head()));
            if (index.isEmpty()) {
                return OfferResult.INCOMPLETE;
            }
            if (!index.get().digest().equals(offered.head().indexDigest())) {
                return OfferResult.CORRUPT;
            }
            try {
                return install(offered, index.get());
            } catch (IOException e) {
                return OfferResult.CORRUPT;
            }
        }
    }

    private Optional<ConfigIndex> deriveIndex(ConfigHead head) {
        if (bundle == null || head.version() != bundle.head().version() + 1) {
            return Optional.empty();
        }
        return bundle.index().flatMap(known -> head.delta().map(known::apply));
    }

    private OfferResult install(ConfigBundle offered, ConfigIndex index) throws IOException {
        SortedMap<String, byte[]> parts = new TreeMap<>();
        Map<String, String> ownDigests = digestsByVersion.getOrDefault(version(), Map.of());
        for (ConfigPartRef part : index.parts()) {
            byte[] sent = offered.parts().get(part.name());
            if (sent != null && !Digests.sha256(sent).equals(part.digest())) {
                return OfferResult.CORRUPT;
            }
            if (sent == null && !part.digest().equals(ownDigests.get(part.name()))) {
                return OfferResult.INCOMPLETE;
            }
            parts.put(part.name(), sent == null ? bundle.parts().get(part.name()) : sent);
        }
        SiteConfig config = assembler.assemble(index, parts);
        bundle = new ConfigBundle(offered.head(), Optional.of(index), parts);
        installed = new VersionedConfig(offered.head().version(), config);
        digestsByVersion.put(installed.version(), digestsOf(index));
        return OfferResult.INSTALLED;
    }

    private static Map<String, String> digestsOf(ConfigIndex index) {
        return index.parts().stream().collect(Collectors.toMap(ConfigPartRef::name, ConfigPartRef::digest));
    }

    Optional<VersionedConfig> current() {
        synchronized (lock) {
            return Optional.ofNullable(installed);
        }
    }

    long version() {
        synchronized (lock) {
            return installed == null ? 0 : installed.version();
        }
    }

    /** Returns the whole installed configuration as it is stored. */
    Optional<ConfigBundle> bundle() {
        synchronized (lock) {
            return Optional.ofNullable(bundle);
        }
    }

    /** Returns the bundle for a node that has a version; leaves out what this version shares with it. */
    Optional<ConfigBundle> bundleFor(long haveVersion) {
        synchronized (lock) {
            if (bundle == null || bundle.head().version() <= haveVersion) {
                return Optional.empty();
            }
            Map<String, String> theirs = digestsByVersion.getOrDefault(haveVersion, Map.of());
            Map<String, String> ours = digestsByVersion.get(installed.version());
            SortedMap<String, byte[]> parts = new TreeMap<>(bundle.parts());
            parts.keySet().removeIf(name -> ours.get(name).equals(theirs.get(name)));
            boolean derivable = haveVersion > 0
                    && haveVersion == installed.version() - 1
                    && bundle.head().delta().isPresent();
            Optional<ConfigIndex> index = derivable ? Optional.empty() : bundle.index();
            return Optional.of(new ConfigBundle(bundle.head(), index, parts));
        }
    }
}
