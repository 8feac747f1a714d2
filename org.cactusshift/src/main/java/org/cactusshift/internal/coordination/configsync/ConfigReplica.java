package org.cactusshift.internal.coordination.configsync;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.cactusshift.config.SiteConfig;

/**
 * The configuration installed at this node, whole and checked, and the differences to recent versions.
 *
 * <p>Only a higher version replaces an installed one. Safe for several threads; does no I/O.
 */
final class ConfigReplica {
    private static final int REMEMBERED_VERSIONS = 64;

    private final Object lock = new Object();
    private final ConfigAssembler assembler = new ConfigAssembler();
    private final Map<Long, Map<String, String>> digestsByVersion = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Map<String, String>> eldest) {
            return size() > REMEMBERED_VERSIONS;
        }
    };
    private ConfigBundle bundle;
    private InstalledConfig installed;

    /** What became of an offered bundle. */
    enum Offer {
        /** It is installed now. */
        INSTALLED,
        /** It is not newer than the installed one. */
        NOT_NEWER,
        /** It leaves out a part that this node does not have. */
        INCOMPLETE,
        /** A digest does not match or a part is malformed. */
        CORRUPT
    }

    /** Installs a bundle if it is newer, whole together with the installed parts, and intact. */
    Offer offer(ConfigBundle offered) {
        synchronized (lock) {
            if (offered.head().version() <= version()) {
                return Offer.NOT_NEWER;
            }
            if (!Digests.sha256Hex(offered.indexBytes()).equals(offered.head().indexDigest())) {
                return Offer.CORRUPT;
            }
            try {
                return install(offered, offered.index());
            } catch (IOException e) {
                return Offer.CORRUPT;
            }
        }
    }

    private Offer install(ConfigBundle offered, ConfigIndex index) throws IOException {
        SortedMap<String, byte[]> parts = new TreeMap<>();
        for (ConfigPartRef part : index.parts()) {
            byte[] own = bundle == null ? null : bundle.parts().get(part.name());
            byte[] sent = offered.parts().get(part.name());
            byte[] bytes = sent == null ? own : sent;
            if (bytes == null) {
                return Offer.INCOMPLETE;
            }
            if (!Digests.sha256Hex(bytes).equals(part.digest())) {
                return sent == null ? Offer.INCOMPLETE : Offer.CORRUPT;
            }
            parts.put(part.name(), bytes);
        }
        SiteConfig config = assembler.assemble(index, parts);
        bundle = new ConfigBundle(offered.head(), offered.indexBytes(), parts);
        installed = new InstalledConfig(offered.head().version(), config);
        digestsByVersion.put(installed.version(), index.digests());
        return Offer.INSTALLED;
    }

    Optional<InstalledConfig> current() {
        synchronized (lock) {
            return Optional.ofNullable(installed);
        }
    }

    long version() {
        synchronized (lock) {
            return installed == null ? 0 : installed.version();
        }
    }

    SortedMap<String, byte[]> parts() {
        synchronized (lock) {
            return bundle == null ? new TreeMap<>() : bundle.parts();
        }
    }

    /** Returns the bundle for a node that has a version; leaves out the parts that this version shares. */
    Optional<ConfigBundle> bundleFor(long haveVersion) {
        synchronized (lock) {
            if (bundle == null || bundle.head().version() <= haveVersion) {
                return Optional.empty();
            }
            Map<String, String> theirs = digestsByVersion.getOrDefault(haveVersion, Map.of());
            Map<String, String> ours = digestsByVersion.get(installed.version());
            SortedMap<String, byte[]> parts = new TreeMap<>(bundle.parts());
            parts.keySet().removeIf(name -> ours.get(name).equals(theirs.get(name)));
            return Optional.of(new ConfigBundle(bundle.head(), bundle.indexBytes(), parts));
        }
    }
}
