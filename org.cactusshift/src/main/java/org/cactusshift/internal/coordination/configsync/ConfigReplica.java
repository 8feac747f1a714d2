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
 * Holds the complete, verified configuration installed on this node, and the part digests of recent versions.
 *
 * <p>An installed version is replaced only by a higher one. Thread-safe; does no I/O.
 */
final class ConfigReplica {
    /** The number of versions whose part digests are kept; a peer further behind receives all parts. */
    private static final int RETAINED_VERSIONS = 64;

    private final Object lock = new Object();
    private final ConfigAssembler assembler = new ConfigAssembler();
    /** The digests of the parts by name, by version. */
    private final Map<Long, Map<String, String>> partDigestsByVersion = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Map<String, String>> eldest) {
            return size() > RETAINED_VERSIONS;
        }
    };

    private ConfigBundle bundle;
    private VersionedConfig installed;

    /** The result of offering a bundle. */
    enum OfferResult {
        /** The bundle was installed. */
        INSTALLED,
        /** The bundle is not newer than the installed configuration. */
        NOT_NEWER,
        /** The bundle omits an index or a part that this node does not have. */
        INCOMPLETE,
        /** A digest does not match or a part is malformed. */
        CORRUPT
    }

    /** Installs a bundle if it is newer, intact, and complete together with the installed parts. */
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
        return bundle.index().flatMap(own -> head.delta().map(own::apply));
    }

    private OfferResult install(ConfigBundle offered, ConfigIndex index) throws IOException {
        SortedMap<String, byte[]> parts = new TreeMap<>();
        Map<String, String> ownDigests = partDigestsByVersion.getOrDefault(version(), Map.of());
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
        partDigestsByVersion.put(installed.version(), digestsOf(index));
        return OfferResult.INSTALLED;
    }

    private static Map<String, String> digestsOf(ConfigIndex index) {
        return index.parts().stream().collect(Collectors.toMap(ConfigPartRef::name, ConfigPartRef::digest));
    }

    Optional<VersionedConfig> active() {
        synchronized (lock) {
            return Optional.ofNullable(installed);
        }
    }

    long version() {
        synchronized (lock) {
            return installed == null ? 0 : installed.version();
        }
    }

    /** Returns the bundle of the installed configuration, with its index and all its parts. */
    Optional<ConfigBundle> bundle() {
        synchronized (lock) {
            return Optional.ofNullable(bundle);
        }
    }

    /**
     * Returns the bundle for a peer that has a given version; omits the parts that this version and the installed one
     * share, but none if the version is no longer known here.
     */
    Optional<ConfigBundle> bundleFor(long peerVersion) {
        synchronized (lock) {
            if (bundle == null || bundle.head().version() <= peerVersion) {
                return Optional.empty();
            }
            Map<String, String> peerDigests = partDigestsByVersion.getOrDefault(peerVersion, Map.of());
            Map<String, String> ownDigests = partDigestsByVersion.get(installed.version());
            SortedMap<String, byte[]> parts = new TreeMap<>(bundle.parts());
            parts.keySet().removeIf(name -> ownDigests.get(name).equals(peerDigests.get(name)));
            boolean derivable = peerVersion > 0
                    && peerVersion == installed.version() - 1
                    && bundle.head().delta().isPresent();
            Optional<ConfigIndex> index = derivable ? Optional.empty() : bundle.index();
            return Optional.of(new ConfigBundle(bundle.head(), index, parts));
        }
    }
}
