package org.cactusshift.internal.coordination.configsync;

import io.vavr.control.Either;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.cactusshift.errors.Failure;

/**
 * Removes the version that falls out of the history, in a number of calls that does not grow with the configuration.
 *
 * <p>A part that a version has and its successor has not serves that version and older ones only, so it goes when the
 * version goes. A failure leaves it behind and harms nothing.
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
            Set<ConfigPartRef> replaced = new HashSet<>(index.get().parts());
            successor.get().parts().forEach(replaced::remove);
            replaced.forEach(
                    part -> repository.retryingStore().delete(repository.keys().part(part)));
            repository.retryingStore().delete(head.get().indexKey());
            repository.retryingStore().delete(key);
        }
    }

    private Either<Failure, ConfigIndex> indexOf(ConfigHead head) {
        return repository.readIndex(head, Optional.empty());
    }
}
