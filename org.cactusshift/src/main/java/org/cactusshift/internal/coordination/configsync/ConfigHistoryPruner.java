package org.cactusshift.internal.coordination.configsync;

import io.vavr.control.Either;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.cactusshift.errors.Failure;

/**
 * Deletes the version that has become older than the retained history, in a number of store calls that does not grow
 * with the configuration.
 *
 * <p>A part that a version has and its successor does not have is used by that version and older ones only, so it is
 * deleted together with the version. After a failure the version may stay in the history, and no later
 * pruning deletes it.
 */
final class ConfigHistoryPruner {
    private final ConfigRepository repository;

    private ConfigHistoryPruner(ConfigRepository repository) {
        this.repository = repository;
    }

    static ConfigHistoryPruner of(ConfigRepository repository) {
        return new ConfigHistoryPruner(repository);
    }

    void prune(long newestVersion) {
        long expired = newestVersion - ConfigRepository.HISTORY_VERSIONS;
        if (expired < 1) {
            return;
        }
        String key = repository.keys().history(expired);
        Either<Failure, ConfigHead> head = repository.retryingStore().readRequired(key, ConfigHead.class);
        Either<Failure, ConfigIndex> index = head.flatMap(this::indexOf);
        Either<Failure, ConfigIndex> successor = repository
                .retryingStore()
                .readRequired(repository.keys().history(expired + 1), ConfigHead.class)
                .flatMap(this::indexOf);
        if (index.isRight() && successor.isRight()) {
            Set<ConfigPartRef> unusedParts = new HashSet<>(index.get().parts());
            successor.get().parts().forEach(unusedParts::remove);
            unusedParts.forEach(
                    part -> repository.retryingStore().delete(repository.keys().part(part)));
            repository.retryingStore().delete(head.get().indexKey());
            repository.retryingStore().delete(key);
        }
    }

    private Either<Failure, ConfigIndex> indexOf(ConfigHead head) {
        return repository.readIndex(head, Optional.empty());
    }
}
