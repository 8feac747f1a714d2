package org.cactusshift.pgm;

import io.vavr.control.Either;
import org.apache.commons.cli.CommandLine;
import org.cactusshift.errors.CactusshiftException;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.configsync.ApplyConfigCommand;
import org.cactusshift.internal.coordination.configsync.ConfigRepository;
import org.cactusshift.internal.coordination.configsync.VersionedConfig;
import org.cactusshift.internal.transport.store.EtcdKeyValueStore;
import org.cactusshift.internal.transport.store.EtcdStoreSettings;

/** The key-value store client and the configuration repository of a site, opened from command-line options. */
final class StoreSession implements AutoCloseable {
    private final EtcdKeyValueStore store;
    private final ConfigRepository repository;

    private StoreSession(EtcdKeyValueStore store, ConfigRepository repository) {
        this.store = store;
        this.repository = repository;
    }

    /** Opens a session for the key-value store and the site that the options name. */
    static StoreSession open(CommandLine line) throws UsageException {
        EtcdStoreSettings settings = EtcdStoreSettings.forAddresses(CommonOptions.parseStoreAddresses(line));
        EtcdKeyValueStore store = EtcdKeyValueStore.create(settings);
        return new StoreSession(store, ConfigRepository.open(store, CommonOptions.parseSite(line)));
    }

    ConfigRepository repository() {
        return repository;
    }

    /**
     * Reads the current configuration.
     *
     * @throws CactusshiftException if it can't be read or the site has none
     */
    VersionedConfig readCurrent() throws CactusshiftException {
        return getOrThrow(repository.readCurrent())
                .orElseThrow(() -> new CactusshiftException(Failure.rejected(
                        "read configuration", "key-value store", "the site has no accepted configuration")));
    }

    /** Returns an apply command with the author, the comment and the current time set. */
    ApplyConfigCommand newApplyCommand(CommandLine line, String comment) {
        return repository
                .apply()
                .setAuthor(line.getOptionValue("author", System.getProperty("user.name")))
                .setComment(comment)
                .setAcceptedEpochMillis(System.currentTimeMillis());
    }

    static <T> T getOrThrow(Either<Failure, T> result) throws CactusshiftException {
        if (result.isLeft()) {
            throw new CactusshiftException(result.getLeft());
        }
        return result.get();
    }

    @Override
    public void close() {
        store.close();
    }
}
