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
 * Replaces the accepted configuration if its version is still the base version of the change.
 *
 * <p>Writes parts and index first, then replaces the head by compare-and-swap. Before the head is replaced, it is
 * copied into the history, so that a writer that lost the response of the store finds its token either in the head or
 * in the history.
 */
public final class ApplyConfigCommand {
    /** The limit of a store value. */
    private static final int MAXIMUM_VALUE_BYTES = 1_000_000;
    /** The number of changed and removed parts up to which the head contains the delta. */
    private static final int MAXIMUM_DELTA_PARTS = 16;
    /** The number of revoked keys that the head lists at most. */
    private static final int MAXIMUM_REVOKED_KEYS = 64;

    private final ConfigRepository repository;
    private final String writerToken = newToken();
    private SiteConfig config;
    private long baseVersion;
    private String author = "";
    private String comment = "";
    private long acceptedEpochMillis;

    ApplyConfigCommand(ConfigRepository repository) {
        this.repository = repository;
    }

    private static String newToken() {
        return Long.toHexString(UUID.randomUUID().getLeastSignificantBits());
    }

    /**
     * Sets the new configuration, which must have been validated.
     *
     * @param config the new configuration
     * @return this command
     */
    public ApplyConfigCommand setConfig(SiteConfig config) {
        this.config = Objects.requireNonNull(config, "config");
        return this;
    }

    /**
     * Sets the version that the change is based on.
     *
     * @param version the base version; 0 for the first configuration
     * @return this command
     */
    public ApplyConfigCommand setBaseVersion(long version) {
        this.baseVersion = version;
        return this;
    }

    /**
     * Sets the author of the change.
     *
     * @param author the operator who makes the change
     * @return this command
     */
    public ApplyConfigCommand setAuthor(String author) {
        this.author = Objects.requireNonNull(author, "author");
        return this;
    }

    /**
     * Sets the comment on the change.
     *
     * @param comment the reason for the change
     * @return this command
     */
    public ApplyConfigCommand setComment(String comment) {
        this.comment = Objects.requireNonNull(comment, "comment");
        return this;
    }

    /**
     * Sets the time of the change, which is stored in the head.
     *
     * @param acceptedEpochMillis the current time, wall clock; 0 if it is not set
     * @return this command
     */
    public ApplyConfigCommand setAcceptedEpochMillis(long acceptedEpochMillis) {
        this.acceptedEpochMillis = acceptedEpochMillis;
        return this;
    }

    /**
     * Applies the change; blocks for several store calls, among them one for each changed part.
     *
     * @return the result, or the failure; after {@link Failure.Kind#UNKNOWN_EFFECT} the change may or may not have been
     *     accepted, and it is safe to run a new command with the same base version
     */
    public Either<Failure, ApplyResult> call() {
        Objects.requireNonNull(config, "config");
        return repository
                .store()
                .get(repository.headKey())
                .flatMap(storedHead -> storedHead.isEmpty()
                        ? replace(Optional.empty(), Optional.empty())
                        : RetryingStore.decode(storedHead.get(), ConfigHead.class)
                                .flatMap(head -> replace(storedHead, Optional.of(head))));
    }

    private Either<Failure, ApplyResult> replace(
            Optional<VersionedValue> storedHead, Optional<ConfigHead> currentHead) {
        if (currentHead.map(ConfigHead::version).orElse(0L) != baseVersion) {
            return conflictResult();
        }
        ObjectNode tree = SiteConfigCodec.toTree(config);
        SortedMap<String, byte[]> parts = ConfigLayout.split(tree);
        return readIndex(currentHead).flatMap(currentIndex -> {
            ConfigIndex index = buildIndex(parts, currentIndex);
            if (index.equals(currentIndex)) {
                return Either.right(ApplyResult.of(ApplyResult.Outcome.UNCHANGED, baseVersion));
            }
            byte[] indexBytes = ConfigBundle.encode(index);
            return checkSizes(parts, indexBytes)
                    .flatMap(unused -> archiveHead(storedHead))
                    .flatMap(unused -> writeParts(parts, index, indexBytes))
                    .flatMap(unused -> revokedKeys(currentHead, currentIndex, parts))
                    .flatMap(revoked -> swapHead(storedHead, buildHead(index, currentIndex, revoked), index));
        });
    }

    private Either<Failure, ConfigIndex> readIndex(Optional<ConfigHead> head) {
        return head.isEmpty() ? Either.right(ConfigIndex.EMPTY) : repository.readIndex(head.get(), Optional.empty());
    }

    private ConfigIndex buildIndex(SortedMap<String, byte[]> parts, ConfigIndex currentIndex) {
        Map<String, ConfigPartRef> oldByName = currentIndex.byName();
        List<ConfigPartRef> refs = new ArrayList<>();
        parts.forEach((name, bytes) -> {
            String digest = Digests.sha256(bytes);
            ConfigPartRef oldRef = oldByName.get(name);
            boolean unchanged = oldRef != null && oldRef.digest().equals(digest);
            refs.add(unchanged ? oldRef : new ConfigPartRef(name, writerId(), digest));
        });
        return new ConfigIndex(refs);
    }

    /** Returns true, or the failure if a part or the index is too large for the store. */
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
                "apply configuration",
                "local",
                name + " has " + bytes + " bytes; the limit of a store value is " + MAXIMUM_VALUE_BYTES);
    }

    /** Copies the current head into the history; returns true, or the failure. */
    private Either<Failure, Boolean> archiveHead(Optional<VersionedValue> storedHead) {
        return storedHead.isEmpty()
                ? Either.right(true)
                : repository
                        .retryingStore()
                        .create(
                                repository.keys().history(baseVersion),
                                storedHead.get().value());
    }

    /** Writes the new parts and the index; returns true, or the failure. */
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

    /**
     * Returns the revoked keys for the new head: those that this change revokes, then those of the current head,
     * without the ones that the new configuration makes usable again.
     */
    private Either<Failure, List<KeyId>> revokedKeys(
            Optional<ConfigHead> currentHead, ConfigIndex currentIndex, Map<String, byte[]> newParts) {
        if (currentHead.isEmpty()) {
            return Either.right(List.of());
        }
        return repository
                .readParts(currentIndex, newParts)
                .flatMap(ConfigRepository::decodeConfig)
                .map(currentConfig -> {
                    Set<KeyId> revoked = new LinkedHashSet<>(usableKeys(currentConfig));
                    revoked.addAll(currentHead.get().withdrawnKeys());
                    revoked.removeAll(usableKeys(config));
                    return revoked.stream().limit(MAXIMUM_REVOKED_KEYS).toList();
                });
    }

    private static Set<KeyId> usableKeys(SiteConfig config) {
        Set<KeyId> usable = new HashSet<>();
        config.accounts()
                .forEach(account ->
                        account.keys().stream().filter(key -> !key.withdrawn()).forEach(key -> usable.add(key.id())));
        return usable;
    }

    private ConfigHead buildHead(ConfigIndex index, ConfigIndex currentIndex, List<KeyId> revoked) {
        ConfigIndexDelta delta = index.deltaFrom(currentIndex);
        boolean includeDelta = delta.changed().size() + delta.removed().size() <= MAXIMUM_DELTA_PARTS;
        return new ConfigHead(
                newVersion(),
                indexKey(),
                index.digest(),
                includeDelta ? Optional.of(delta) : Optional.empty(),
                author,
                acceptedEpochMillis,
                comment,
                writerToken,
                revoked);
    }

    private Either<Failure, ApplyResult> swapHead(
            Optional<VersionedValue> storedHead, ConfigHead head, ConfigIndex index) {
        long expected = storedHead.map(VersionedValue::modRevision).orElse(0L);
        return repository
                .retryingStore()
                .compareAndSwap(repository.headKey(), expected, ConfigBundle.encode(head))
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

    /** Looks for this command's token in the head and, in case a later change replaced that head, in the history. */
    private Either<Failure, Boolean> wasApplied(SwapResult result) {
        if (result.isApplied()) {
            return Either.right(true);
        }
        return hasOwnToken(repository.headKey())
                .flatMap(isHead -> isHead
                        ? Either.right(true)
                        : hasOwnToken(repository.keys().history(newVersion())))
                .mapLeft(failure -> Failure.unknownEffect(failure.step(), failure.peer(), failure.message()));
    }

    private Either<Failure, Boolean> hasOwnToken(String key) {
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
