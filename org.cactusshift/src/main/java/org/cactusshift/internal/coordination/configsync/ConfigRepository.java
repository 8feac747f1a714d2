package org.cactusshift.internal.coordination.configsync;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.config.SiteConfigCodec;
import org.cactusshift.errors.Failure;
import org.cactusshift.id.SiteId;
import org.cactusshift.internal.coordination.store.KeyValueStore;
import org.cactusshift.internal.coordination.store.VersionedValue;
import org.cactusshift.internal.coordination.store.Watch;
import org.cactusshift.internal.coordination.store.WatchListener;

/**
 * The accepted configuration of a site in the key-value service.
 *
 * <p>A version is a head, an index and parts. Index and parts are written before the head names them and never change
 * afterwards, so whoever reads a head can read all of its version as long as it is within the history kept.
 */
public final class ConfigRepository {
    /** The number of versions that can be read again. */
    public static final int HISTORY_VERSIONS = 50;

    private static final int MAXIMUM_SINGLE_READS = 8;

    private final KeyValueStore store;
    private final RetryingStore retryingStore;
    private final ConfigStoreKeys keys;

    private ConfigRepository(KeyValueStore store, ConfigStoreKeys keys) {
        this.store = store;
        this.retryingStore = new RetryingStore(store);
        this.keys = keys;
    }

    /**
     * Opens the configuration of a site.
     *
     * @param store the key-value service
     * @param site the site
     * @return the repository; safe for several threads
     */
    public static ConfigRepository open(KeyValueStore store, SiteId site) {
        return new ConfigRepository(store, ConfigStoreKeys.of(site));
    }

    /**
     * Returns a command that changes the configuration.
     *
     * @return the command
     */
    public ApplyConfigCommand apply() {
        return new ApplyConfigCommand(this);
    }

    String headKey() {
        return keys.head();
    }

    /**
     * Reads the head; one small read.
     *
     * @return the head, empty when no configuration was accepted yet, or the failure
     */
    public Either<Failure, Optional<ConfigHead>> readHead() {
        return retryingStore.read(keys.head(), ConfigHead.class);
    }

    /**
     * Opens a watch on the head; its first event is the present head, if there is one.
     *
     * @param listener receives the changes
     * @return the watch, or the failure
     */
    public Either<Failure, Watch> watchHead(WatchListener listener) {
        return store.get(keys.head()).flatMap(found -> {
            long from = found.map(VersionedValue::modRevision).orElse(1L);
            return store.watch(keys.head(), from, listener);
        });
    }

    /**
     * Reads the accepted configuration.
     *
     * @return the configuration, empty when none was accepted yet, or the failure
     */
    public Either<Failure, Optional<VersionedConfig>> readCurrent() {
        return readHead()
                .flatMap(head -> head.isEmpty()
                        ? Either.right(Optional.empty())
                        : read(head.get()).map(Optional::of));
    }

    /**
     * Reads a version that is still within the history kept.
     *
     * @param version the version
     * @return the configuration, or the failure
     */
    public Either<Failure, VersionedConfig> readVersion(long version) {
        return readHead()
                .flatMap(head -> head.isPresent() && head.get().version() == version
                        ? Either.right(head.get())
                        : retryingStore.readRequired(keys.history(version), ConfigHead.class))
                .flatMap(this::read);
    }

    /**
     * Reads the heads of the accepted version and of those before it.
     *
     * @return the heads, newest first, or the failure
     */
    public Either<Failure, List<ConfigHead>> readHistory() {
        return readHead()
                .flatMap(head -> store.list(keys.historyPrefix()).flatMap(range -> {
                    List<ConfigHead> heads = new ArrayList<>();
                    for (VersionedValue value : range.values()) {
                        Either<Failure, ConfigHead> decoded = RetryingStore.decode(value, ConfigHead.class);
                        if (decoded.isLeft()) {
                            return Either.left(decoded.getLeft());
                        }
                        heads.add(decoded.get());
                    }
                    head.ifPresent(current -> heads.removeIf(old -> old.version() == current.version()));
                    head.ifPresent(heads::add);
                    Collections.reverse(heads);
                    return Either.right(heads);
                }));
    }

    /**
     * Reads all that a head names.
     *
     * @param head the head
     * @param have the whole configuration that the caller has; what it shares with the head's is not read again
     * @return the whole bundle, or the failure; index and parts are checked against their digests
     */
    public Either<Failure, ConfigBundle> loadBundle(ConfigHead head, Optional<ConfigBundle> have) {
        SortedMap<String, byte[]> known = have.map(ConfigBundle::parts).orElseGet(TreeMap::new);
        return readIndex(head, have)
                .flatMap(index ->
                        readParts(index, known).map(parts -> new ConfigBundle(head, Optional.of(index), parts)));
    }

    private Either<Failure, VersionedConfig> read(ConfigHead head) {
        return loadBundle(head, Optional.empty())
                .flatMap(bundle -> decode(bundle.parts()))
                .map(config -> new VersionedConfig(head.version(), config));
    }

    /** Puts the parts of a configuration together. */
    static Either<Failure, SiteConfig> decode(SortedMap<String, byte[]> parts) {
        try {
            return Either.right(SiteConfigCodec.fromTree(ConfigLayout.merge(parts)));
        } catch (IOException e) {
            return Either.left(Failure.rejected("decode configuration", "store", e.getMessage()));
        }
    }

    /** Returns the index of a head, by its delta if the caller has the version before, else from the store. */
    Either<Failure, ConfigIndex> readIndex(ConfigHead head, Optional<ConfigBundle> have) {
        Optional<ConfigIndex> derived = have.filter(known -> known.head().version() == head.version() - 1)
                .flatMap(ConfigBundle::index)
                .flatMap(known -> head.delta().map(known::apply))
                .filter(index -> index.digest().equals(head.indexDigest()));
        if (derived.isPresent()) {
            return Either.right(derived.get());
        }
        return retryingStore
                .readRequired(head.indexKey(), ConfigIndex.class)
                .flatMap(index -> index.digest().equals(head.indexDigest())
                        ? Either.right(index)
                        : Either.left(digestMismatch(head.indexKey())));
    }

    /** Reads the parts of an index, but for those that the caller has with the same digest. */
    Either<Failure, SortedMap<String, byte[]>> readParts(ConfigIndex index, Map<String, byte[]> have) {
        SortedMap<String, byte[]> parts = new TreeMap<>();
        List<ConfigPartRef> missing = new ArrayList<>();
        for (ConfigPartRef part : index.parts()) {
            byte[] known = have.get(part.name());
            if (known != null && Digests.sha256(known).equals(part.digest())) {
                parts.put(part.name(), known);
            } else {
                missing.add(part);
            }
        }
        return listPartsIfMany(missing).flatMap(listed -> {
            for (ConfigPartRef part : missing) {
                Either<Failure, byte[]> bytes = readPart(part, listed);
                if (bytes.isLeft()) {
                    return Either.left(bytes.getLeft());
                }
                parts.put(part.name(), bytes.get());
            }
            return Either.right(parts);
        });
    }

    private Either<Failure, Map<String, byte[]>> listPartsIfMany(List<ConfigPartRef> missing) {
        if (missing.size() <= MAXIMUM_SINGLE_READS) {
            return Either.right(Map.of());
        }
        return store.list(keys.partsPrefix())
                .map(range ->
                        range.values().stream().collect(Collectors.toMap(VersionedValue::key, VersionedValue::value)));
    }

    private Either<Failure, byte[]> readPart(ConfigPartRef part, Map<String, byte[]> listed) {
        String key = keys.part(part);
        byte[] known = listed.get(key);
        if (known != null) {
            return verifyDigest(key, known, part.digest());
        }
        return store.get(key)
                .flatMap(found -> found.isEmpty()
                        ? Either.left(RetryingStore.missing(key))
                        : verifyDigest(key, found.get().value(), part.digest()));
    }

    private static Either<Failure, byte[]> verifyDigest(String key, byte[] bytes, String digest) {
        return Digests.sha256(bytes).equals(digest) ? Either.right(bytes) : Either.left(digestMismatch(key));
    }

    private static Failure digestMismatch(String key) {
        return Failure.rejected("read " + key, "store", "the digest does not match");
    }

    KeyValueStore store() {
        return store;
    }

    RetryingStore retryingStore() {
        return retryingStore;
    }

    ConfigStoreKeys keys() {
        return keys;
    }
}
