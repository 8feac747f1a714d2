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
 * Reads and changes the accepted configuration of a site in the key-value store.
 *
 * <p>A version consists of a head, an index and parts. Index and parts are written before the head that refers to them
 * and never change afterwards, so that a reader of a head can read all of its version while the version is in the
 * retained history.
 */
public final class ConfigRepository {
    /** The number of versions retained in the history. */
    public static final int HISTORY_VERSIONS = 50;

    /** Up to this number, missing parts are read by a call each; for more, one call lists all stored parts. */
    private static final int MAXIMUM_SINGLE_READS = 8;

    private final KeyValueStore store;
    /** Decodes the values that it reads; repeats failed writes, not reads. */
    private final RetryingStore retryingStore;

    private final ConfigStoreKeys keys;

    private ConfigRepository(KeyValueStore store, ConfigStoreKeys keys) {
        this.store = store;
        this.retryingStore = new RetryingStore(store);
        this.keys = keys;
    }

    /**
     * Opens the repository of a site.
     *
     * @param store the key-value store
     * @param site the site
     * @return the repository, thread-safe
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
     * Reads the head, in one small read.
     *
     * @return the head, empty when no configuration has been accepted yet, or the failure
     */
    public Either<Failure, Optional<ConfigHead>> readHead() {
        return retryingStore.read(keys.head(), ConfigHead.class);
    }

    /**
     * Opens a watch on the head; its first event is the current head, if there is one.
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
     * @return the configuration, empty when none has been accepted yet, or the failure
     */
    public Either<Failure, Optional<VersionedConfig>> readCurrent() {
        return readHead()
                .flatMap(head -> head.isEmpty()
                        ? Either.right(Optional.empty())
                        : read(head.get()).map(Optional::of));
    }

    /**
     * Reads a version that is in the retained history.
     *
     * @param version the version
     * @return the configuration, or the failure, also when the version is not retained
     */
    public Either<Failure, VersionedConfig> readVersion(long version) {
        return readHead()
                .flatMap(head -> head.isPresent() && head.get().version() == version
                        ? Either.right(head.get())
                        : retryingStore.readRequired(keys.history(version), ConfigHead.class))
                .flatMap(this::read);
    }

    /**
     * Reads the heads of the accepted version and of the versions in the retained history.
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
     * Loads the index and the parts that a head refers to.
     *
     * @param head the head
     * @param available the complete bundle that this node already has, if any; the parts that it shares with the head
     *     are not read again
     * @return the complete bundle, or the failure; index and parts are verified against their digests
     */
    public Either<Failure, ConfigBundle> loadBundle(ConfigHead head, Optional<ConfigBundle> available) {
        SortedMap<String, byte[]> availableParts =
                available.map(ConfigBundle::parts).orElseGet(TreeMap::new);
        return readIndex(head, available)
                .flatMap(index -> readParts(index, availableParts)
                        .map(parts -> new ConfigBundle(head, Optional.of(index), parts)));
    }

    private Either<Failure, VersionedConfig> read(ConfigHead head) {
        return loadBundle(head, Optional.empty())
                .flatMap(bundle -> decodeConfig(bundle.parts()))
                .map(config -> new VersionedConfig(head.version(), config));
    }

    /** Decodes the configuration of a complete set of parts. */
    static Either<Failure, SiteConfig> decodeConfig(SortedMap<String, byte[]> parts) {
        try {
            return Either.right(SiteConfigCodec.fromTree(ConfigLayout.merge(parts)));
        } catch (IOException e) {
            return Either.left(Failure.rejected("decode configuration", "store", e.getMessage()));
        }
    }

    /**
     * Derives the index of a head from its delta if the previous version is available, else reads it from the store.
     */
    Either<Failure, ConfigIndex> readIndex(ConfigHead head, Optional<ConfigBundle> available) {
        Optional<ConfigIndex> derived = available
                .filter(bundle -> bundle.head().version() == head.version() - 1)
                .flatMap(ConfigBundle::index)
                .flatMap(previous -> head.delta().map(previous::apply))
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

    /** Reads the parts of an index, except those already available with the same digest. */
    Either<Failure, SortedMap<String, byte[]>> readParts(ConfigIndex index, Map<String, byte[]> availableParts) {
        SortedMap<String, byte[]> parts = new TreeMap<>();
        List<ConfigPartRef> missing = new ArrayList<>();
        for (ConfigPartRef part : index.parts()) {
            byte[] availableBytes = availableParts.get(part.name());
            if (availableBytes != null && Digests.sha256(availableBytes).equals(part.digest())) {
                parts.put(part.name(), availableBytes);
            } else {
                missing.add(part);
            }
        }
        return listPartsIfMany(missing).flatMap(listedBytesByKey -> {
            for (ConfigPartRef part : missing) {
                Either<Failure, byte[]> bytes = readPart(part, listedBytesByKey);
                if (bytes.isLeft()) {
                    return Either.left(bytes.getLeft());
                }
                parts.put(part.name(), bytes.get());
            }
            return Either.right(parts);
        });
    }

    /** Lists all stored parts by key if many are missing; otherwise returns an empty map. */
    private Either<Failure, Map<String, byte[]>> listPartsIfMany(List<ConfigPartRef> missing) {
        if (missing.size() <= MAXIMUM_SINGLE_READS) {
            return Either.right(Map.of());
        }
        return store.list(keys.partsPrefix())
                .map(range ->
                        range.values().stream().collect(Collectors.toMap(VersionedValue::key, VersionedValue::value)));
    }

    private Either<Failure, byte[]> readPart(ConfigPartRef part, Map<String, byte[]> listedBytesByKey) {
        String key = keys.part(part);
        byte[] bytes = listedBytesByKey.get(key);
        if (bytes != null) {
            return verifyDigest(key, bytes, part.digest());
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
        return Failure.rejected("read " + key, "store", "the value does not match its digest");
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
