package org.cactusshift.internal.coordination.configsync;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cactusshift.errors.Failure;

/** Installs versions one at a time and tells the listeners of each, in the order of versions. */
final class ConfigInstaller {
    private static final System.Logger LOG = System.getLogger(ConfigInstaller.class.getName());

    private final ConfigReplica replica = new ConfigReplica();
    private final ConfigDistributionListener distributionListener;
    private final List<Consumer<VersionedConfig>> listeners = new CopyOnWriteArrayList<>();
    private final Object installLock = new Object();

    ConfigInstaller(ConfigDistributionListener events) {
        this.distributionListener = events;
    }

    /** Tells of a newer head at once, before its parts are read. */
    void announceHead(ConfigHead head) {
        if (head.version() > replica.version()) {
            distributionListener.onNewerHead(head);
        }
    }

    /** Announces a head, gets its bundle and installs it; does nothing for a head that is not newer. */
    Either<Failure, ConfigReplica.OfferResult> install(ConfigHead head, Supplier<Either<Failure, ConfigBundle>> load) {
        if (head.version() <= replica.version()) {
            return Either.right(ConfigReplica.OfferResult.NOT_NEWER);
        }
        distributionListener.onNewerHead(head);
        return load.get().map(this::offer);
    }

    /** Offers a bundle. */
    ConfigReplica.OfferResult offer(ConfigBundle bundle) {
        synchronized (installLock) {
            ConfigReplica.OfferResult offer = replica.offer(bundle);
            if (offer == ConfigReplica.OfferResult.INSTALLED) {
                VersionedConfig installed = replica.current().orElseThrow();
                distributionListener.onInstalled(installed);
                listeners.forEach(listener -> notifyListener(listener, installed));
            } else if (offer == ConfigReplica.OfferResult.CORRUPT) {
                LOG.log(
                        System.Logger.Level.ERROR,
                        "configuration version {0} is malformed",
                        bundle.head().version());
            }
            return offer;
        }
    }

    /** Adds a listener and tells it of the installed version; returns its removal. */
    Runnable subscribe(Consumer<VersionedConfig> listener) {
        synchronized (installLock) {
            replica.current().ifPresent(installed -> notifyListener(listener, installed));
            listeners.add(listener);
        }
        return () -> listeners.remove(listener);
    }

    private static void notifyListener(Consumer<VersionedConfig> listener, VersionedConfig installed) {
        try {
            listener.accept(installed);
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "a configuration listener failed", e);
        }
    }

    void reportStoreContact(long sentMillis, long version) {
        distributionListener.onStoreContact(sentMillis, version);
    }

    Optional<VersionedConfig> current() {
        return replica.current();
    }

    long version() {
        return replica.version();
    }

    Optional<ConfigBundle> bundle() {
        return replica.bundle();
    }

    Optional<ConfigBundle> bundleFor(long haveVersion) {
        return replica.bundleFor(haveVersion);
    }
}
