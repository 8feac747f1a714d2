package org.cactusshift.internal.coordination.configsync;

import io.vavr.control.Either;
import org.cactusshift.errors.Failure;

/**
 * Removes the version that falls out of the history, in a number of calls that does not grow with the configuration.
 *
 * <p>Each index lists the keys that its predecessor used and it does not. Those keys serve the predecessor and older
 * versions only, so they go when the predecessor goes. A failure leaves them behind and harms nothing.
 */
final class ConfigExpiry {
    private final ConfigRepository repository;

    private ConfigExpiry(ConfigRepository repository) {
        this.repository = repository;
    }

    static ConfigExpiry of(ConfigRepository repository) {
        return new ConfigExpiry(repository);
    }

    void expire(long newestVersion) {
        long expired = newestVersion - ConfigRepository.HISTORY_VERSIONS;
        if (expired < 1) {
            return;
        }
        StoredValues values = repository.values();
        Either<Failure, ConfigIndex> successor = values.require(
                        repository.keys().history(expired + 1), ConfigHead.class)
                .flatMap(head -> values.require(head.indexKey(), ConfigIndex.class));
        if (successor.isRight()) {
            successor.get().replacedKeys().forEach(values::delete);
            values.delete(repository.keys().history(expired));
        }
    }
}
