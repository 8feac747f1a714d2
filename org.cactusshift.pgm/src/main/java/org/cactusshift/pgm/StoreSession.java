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

/** A connection to the store that holds the accepted configuration of a site. */
final class StoreSession implements AutoCloseable {
    private final EtcdKeyValueStore store;
    private final ConfigRepository repository;

    private StoreSession(EtcdKeyValueStore store, ConfigRepository repository) {
        this.store = store;
        this.repository = repository;
    }

    /** Connects to the key-value service for the site; the options name both. */
    static StoreSession open(CommandLine line) throws UsageException {
        EtcdStoreSettings settings = EtcdStoreSettings.forAddresses(CommonOptions.addresses(line));
        EtcdKeyValueStore store = EtcdKeyValueStore.create(settings);
        return new StoreSession(store, ConfigRepository.open(store, CommonOptions.siteOf(line)));
    }

    ConfigRepository repository() {
        return repository;
    }

    /** Returns the accepted configuration. */
    VersionedConfig current() throws CactusshiftException {
        return getOrThrow(repository.readCurrent())
                .orElseThrow(() -> new CactusshiftException(Failure.rejected(
                        "read configuration", "key-value service", "the site has no accepted configuration")));
    }

    /** Returns an apply command with the author, the comment and the current time set. */
    ApplyConfigCommand apply(CommandLine line, String comment) {
        return repository
                .apply()
                .setAuthor(line.getOptionValue("author", System.getProperty("user.name")))
                .setComment(comment)
                .setNowEpochMillis(System.currentTimeMillis());
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
