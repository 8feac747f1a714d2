package org.cactusshift.internal.coordination.configsync;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cactusshift.errors.Failure;

/** Installs versions one at a time and notifies the listeners of each, in ascending order of versions. */
final class ConfigInstaller {
    private static final System.Logger LOG = System.getLogger(ConfigInstaller.class.getName());

    private final ConfigReplica replica = new ConfigReplica();
    private final ConfigDistributionListener distributionListener;
    private final List<Consumer<VersionedConfig>> listeners = new CopyOnWriteArrayList<>();
    private final Object installLock = new Object();

    ConfigInstaller(ConfigDistributionListener distributionListener) {
        this.distributionListener = distributionListener;
    }

    /** Notifies the distribution listener of a newer head, before its parts are read. */
    void announceHead(ConfigHead head) {
        if (head.version() > replica.version()) {
            distributionListener.onNewerHead(head);
        }
    }

    /** Announces a newer head, loads its bundle and installs it; does nothing if the head is not newer. */
    Either<Failure, ConfigReplica.OfferResult> install(ConfigHead head, Supplier<Either<Failure, ConfigBundle>> load) {
        if (head.version() <= replica.version()) {
            return Either.right(ConfigReplica.OfferResult.NOT_NEWER);
        }
        distributionListener.onNewerHead(head);
        return load.get().map(this::offer);
    }

    /** Installs a bundle if it is newer and intact, and notifies the listeners. */
    ConfigReplica.OfferResult offer(ConfigBundle bundle) {
        synchronized (installLock) {
            ConfigReplica.OfferResult result = replica.offer(bundle);
            if (result == ConfigReplica.OfferResult.INSTALLED) {
                VersionedConfig installed = replica.active().orElseThrow();
                distributionListener.onInstalled(installed);
                listeners.forEach(listener -> notifyListener(listener, installed));
            } else if (result == ConfigReplica.OfferResult.CORRUPT) {
                LOG.log(
                        System.Logger.Level.ERROR,
                        "configuration version {0} is not installed, as a digest does not match or a part is malformed",
                        bundle.head().version());
            }
            return result;
        }
    }

    /** Adds a listener and passes it the installed version, if there is one; the returned task removes the listener. */
    Runnable subscribe(Consumer<VersionedConfig> listener) {
        synchronized (installLock) {
            replica.active().ifPresent(installed -> notifyListener(listener, installed));
            listeners.add(listener);
        }
        return () -> listeners.remove(listener);
    }

    private static void notifyListener(Consumer<VersionedConfig> listener, VersionedConfig installed) {
        try {
            listener.accept(installed);
        } catch (RuntimeException e) {
            LOG.log(
                    System.Logger.Level.ERROR,
                    "a listener failed on a configuration version; the version stays installed",
                    e);
        }
    }

    void notifyStoreContact(long sentMillis, long version) {
        distributionListener.onStoreContact(sentMillis, version);
    }

    Optional<VersionedConfig> active() {
        return replica.active();
    }

    long version() {
        return replica.version();
    }

    Optional<ConfigBundle> bundle() {
        return replica.bundle();
    }

    Optional<ConfigBundle> bundleFor(long peerVersion) {
        return replica.bundleFor(peerVersion);
    }
}
