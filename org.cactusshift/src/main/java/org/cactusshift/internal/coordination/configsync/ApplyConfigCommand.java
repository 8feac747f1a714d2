package org.cactusshift.internal.coordination.configsync;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.UUID;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.config.SiteConfigCodec;
import org.cactusshift.errors.Failure;
import org.cactusshift.id.KeyId;
import org.cactusshift.internal.coordination.store.SwapResult;
import org.cactusshift.internal.coordination.store.VersionedValue;

/**
 * Replaces the accepted configuration if it is still the version that the change was made against.
 *
 * <p>Parts and index come first, then the head by compare-and-swap; before the head is replaced it is copied into the
 * history, so a writer whose answer was lost finds its token in the head or in the history.
 */
public final class ApplyConfigCommand {
    private static final int MAXIMUM_VALUE_BYTES = 1_000_000;
    private static final int MAXIMUM_DELTA_PARTS = 16;
    private static final int MAXIMUM_REVOKED_KEYS = 64;

    private final ConfigRepository repository;
    private final String writerToken = newToken();
    private SiteConfig config;
    private long baseVersion;
    private String author = "";
    private String comment = "";
    private long nowEpochMillis;

    ApplyConfigCommand(ConfigRepository repository) {
        this.repository = repository;
    }

    private static String newToken() {
        return Long.toHexString(UUID.randomUUID().getLeastSignificantBits());
    }

    /**
     * Sets the new configuration, which must have been checked.
     *
     * @param config the configuration
     * @return this command
     */
    public ApplyConfigCommand setConfig(SiteConfig config) {
        this.config = Objects.requireNonNull(config, "config");
        return this;
    }

    /**
     * Sets the version that the change was made against.
     *
     * @param version the version; 0 for the first configuration
     * @return this command
     */
    public ApplyConfigCommand setBaseVersion(long version) {
        this.baseVersion = version;
        return this;
    }

    /**
     * Sets who makes the change.
     *
     * @param author the operator
     * @return this command
     */
    public ApplyConfigCommand setAuthor(String author) {
        this.author = Objects.requireNonNull(author, "author");
        return this;
    }

    /**
     * Sets why the change is made.
     *
     * @param comment the reason
     * @return this command
     */
    public ApplyConfigCommand setComment(String comment) {
        this.comment = Objects.requireNonNull(comment, "comment");
        return this;
    }

    /**
     * Sets the time of the change.
     *
     * @param nowEpochMillis the present time, wall clock
     * @return this command
     */
    public ApplyConfigCommand setNowEpochMillis(long nowEpochMillis) {
        this.nowEpochMillis = nowEpochMillis;
        return this;
    }

    /**
     * Makes the change; blocks for about a dozen store calls.
     *
     * @return the result, or the failure; after {@link Failure.Kind#UNKNOWN_EFFECT} the change may or may not be
     *     accepted, and a new command against the same version is harmless
     */
    public Either<Failure, ApplyResult> call() {
        Objects.requireNonNull(config, "config");
        return repository
                .store()
                .get(repository.headKey())
                .flatMap(found -> found.isEmpty()
                        ? replace(Optional.empty(), Optional.empty())
                        : RetryingStore.decode(found.get(), ConfigHead.class)
                                .flatMap(head -> replace(found, Optional.of(head))));
    }

    private Either<Failure, ApplyResult> replace(Optional<VersionedValue> stored, Optional<ConfigHead> old) {
        if (old.map(ConfigHead::version).orElse(0L) != baseVersion) {
            return conflictResult();
        }
        ObjectNode tree = SiteConfigCodec.toTree(config);
        SortedMap<String, byte[]> parts = ConfigLayout.split(tree);
        return readIndex(old).flatMap(oldIndex -> {
            ConfigIndex index = buildIndex(parts, oldIndex);
            if (index.equals(oldIndex)) {
                return Either.right(ApplyResult.of(ApplyResult.Outcome.UNCHANGED, baseVersion));
            }
            byte[] indexBytes = ConfigBundle.encode(index);
            return checkSizes(parts, indexBytes)
                    .flatMap(unused -> archiveHead(stored))
                    .flatMap(unused -> writeParts(parts, index, indexBytes))
                    .flatMap(unused -> revokedKeys(old, oldIndex, parts))
                    .flatMap(withdrawn -> swapHead(stored, buildHead(index, oldIndex, withdrawn), index));
        });
    }

    private Either<Failure, ConfigIndex> readIndex(Optional<ConfigHead> head) {
        return head.isEmpty() ? Either.right(ConfigIndex.EMPTY) : repository.readIndex(head.get(), Optional.empty());
    }

    private ConfigIndex buildIndex(SortedMap<String, byte[]> parts, ConfigIndex old) {
        Map<String, ConfigPartRef> known = old.byName();
        List<ConfigPartRef> refs = new ArrayList<>();
        parts.forEach((name, bytes) -> {
            String digest = Digests.sha256(bytes);
            ConfigPartRef before = known.get(name);
            boolean same = before != null && before.digest().equals(digest);
            refs.add(same ? before : new ConfigPartRef(name, writerId(), digest));
        });
        return new ConfigIndex(refs);
    }

    private Either<Failure, Boolean> checkSizes(SortedMap<String, byte[]> parts, byte[] indexBytes) {
        for (Map.Entry<String, byte[]> part : parts.entrySet()) {
            if (part.getValue().length > MAXIMUM_VALUE_BYTES) {
                return Either.left(tooLarge(part.getKey(), part.getValue().length));
            }
        }
        return indexBytes.length > MAXIMUM_VALUE_BYTES
                ? Either.left(tooLarge("index", indexBytes.length))
                : Either.right(true);
    }

    private static Failure tooLarge(String name, int bytes) {
        return Failure.rejected(
                "apply configuration", "local", name + " has " + bytes + " bytes, over " + MAXIMUM_VALUE_BYTES);
    }

    private Either<Failure, Boolean> archiveHead(Optional<VersionedValue> head) {
        return head.isEmpty()
                ? Either.right(true)
                : repository
                        .retryingStore()
                        .create(
                                repository.keys().history(baseVersion),
                                head.get().value());
    }

    private Either<Failure, Boolean> writeParts(SortedMap<String, byte[]> parts, ConfigIndex index, byte[] indexBytes) {
        for (ConfigPartRef ref : index.parts()) {
            if (isOwnPart(ref)) {
                Either<Failure, Boolean> written =
                        repository.retryingStore().create(repository.keys().part(ref), parts.get(ref.name()));
                if (written.isLeft()) {
                    return written;
                }
            }
        }
        return repository.retryingStore().create(indexKey(), indexBytes);
    }

    private Either<Failure, List<KeyId>> revokedKeys(
            Optional<ConfigHead> old, ConfigIndex oldIndex, Map<String, byte[]> newParts) {
        if (old.isEmpty()) {
            return Either.right(List.of());
        }
        return repository
                .readParts(oldIndex, newParts)
                .flatMap(ConfigRepository::decode)
                .map(before -> {
                    Set<KeyId> withdrawn = new LinkedHashSet<>(usableKeys(before));
                    withdrawn.addAll(old.get().withdrawnKeys());
                    withdrawn.removeAll(usableKeys(config));
                    return withdrawn.stream().limit(MAXIMUM_REVOKED_KEYS).toList();
                });
    }

    private static Set<KeyId> usableKeys(SiteConfig config) {
        Set<KeyId> usable = new HashSet<>();
        config.accounts()
                .forEach(account ->
                        account.keys().stream().filter(key -> !key.withdrawn()).forEach(key -> usable.add(key.id())));
        return usable;
    }

    private ConfigHead buildHead(ConfigIndex index, ConfigIndex before, List<KeyId> withdrawn) {
        ConfigIndexDelta delta = index.since(before);
        boolean small = delta.changed().size() + delta.removed().size() <= MAXIMUM_DELTA_PARTS;
        return new ConfigHead(
                newVersion(),
                indexKey(),
                index.digest(),
                small ? Optional.of(delta) : Optional.empty(),
                author,
                nowEpochMillis,
                comment,
                writerToken,
                withdrawn);
    }

    private Either<Failure, ApplyResult> swapHead(Optional<VersionedValue> stored, ConfigHead head, ConfigIndex index) {
        long expected = stored.map(VersionedValue::modRevision).orElse(0L);
        return repository
                .retryingStore()
                .swap(repository.headKey(), expected, ConfigBundle.encode(head))
                .flatMap(this::wasApplied)
                .flatMap(applied -> {
                    if (!applied) {
                        deleteOwnValues(index);
                        return conflictResult();
                    }
                    ConfigHistoryPruner.of(repository).prune(newVersion());
                    return Either.right(ApplyResult.of(ApplyResult.Outcome.APPLIED, newVersion()));
                });
    }

    /** Looks for this command's token in the head and, when another change came on top, in the history. */
    private Either<Failure, Boolean> wasApplied(SwapResult result) {
        if (result.isApplied()) {
            return Either.right(true);
        }
        return hasToken(repository.headKey())
                .flatMap(isHead ->
                        isHead ? Either.right(true) : hasToken(repository.keys().history(newVersion())))
                .mapLeft(failure -> Failure.unknownEffect(failure.step(), failure.peer(), failure.message()));
    }

    private Either<Failure, Boolean> hasToken(String key) {
        return repository
                .retryingStore()
                .read(key, ConfigHead.class)
                .map(head -> head.map(ConfigHead::writerToken)
                        .filter(writerToken::equals)
                        .isPresent());
    }

    private void deleteOwnValues(ConfigIndex index) {
        index.parts().stream()
                .filter(this::isOwnPart)
                .map(repository.keys()::part)
                .forEach(repository.retryingStore()::delete);
        repository.retryingStore().delete(indexKey());
    }

    private Either<Failure, ApplyResult> conflictResult() {
        return repository.readCurrent().map(current -> {
            long version = current.map(VersionedConfig::version).orElse(0L);
            List<ConfigDifference> differences = current.map(accepted -> ConfigDiff.between(accepted.config(), config))
                    .orElse(List.of());
            return new ApplyResult(ApplyResult.Outcome.CONFLICT, version, differences);
        });
    }

    private boolean isOwnPart(ConfigPartRef part) {
        return part.writer().equals(writerId());
    }

    private String indexKey() {
        return repository.keys().index(writerId());
    }

    private String writerId() {
        return newVersion() + "-" + writerToken;
    }

    private long newVersion() {
        return baseVersion + 1;
    }
}
