package org.cactusshift.internal.coordination.configsync;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cactusshift.errors.Failure;

/**
 * Installs versions one at a time, in ascending order, and notifies the distribution listener and then the subscribers
 * of each.
 */
final class ConfigInstaller {
    private static final System.Logger LOG = System.getLogger(ConfigInstaller.class.getName());

    private final ConfigReplica replica = new ConfigReplica();
    private final ConfigDistributionListener distributionListener;
    private final List<Consumer<VersionedConfig>> subscribers = new CopyOnWriteArrayList<>();
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

    /**
     * Installs a bundle if it is newer, intact and, together with the installed parts, complete; notifies the
     * distribution listener and then the subscribers.
     */
    ConfigReplica.OfferResult offer(ConfigBundle bundle) {
        synchronized (installLock) {
            ConfigReplica.OfferResult result = replica.offer(bundle);
            if (result == ConfigReplica.OfferResult.INSTALLED) {
                VersionedConfig installed = replica.active().orElseThrow();
                distributionListener.onInstalled(installed);
                subscribers.forEach(subscriber -> notifySubscriber(subscriber, installed));
            } else if (result == ConfigReplica.OfferResult.CORRUPT) {
                LOG.log(
                        System.Logger.Level.ERROR,
                        "configuration version {0} is not installed, as a digest does not match or a part is malformed",
                        bundle.head().version());
            }
            return result;
        }
    }

    /**
     * Adds a subscriber and passes it the installed version, if there is one; the returned task removes the subscriber.
     */
    Runnable subscribe(Consumer<VersionedConfig> subscriber) {
        synchronized (installLock) {
            replica.active().ifPresent(installed -> notifySubscriber(subscriber, installed));
            subscribers.add(subscriber);
        }
        return () -> subscribers.remove(subscriber);
    }

    private static void notifySubscriber(Consumer<VersionedConfig> subscriber, VersionedConfig installed) {
        try {
            subscriber.accept(installed);
        } catch (RuntimeException e) {
            LOG.log(
                    System.Logger.Level.ERROR,
                    "a subscriber failed on a configuration version; the version stays installed",
                    e);
        }
    }

    /**
     * Notifies the distribution listener of a read of the head; see {@link ConfigDistributionListener#onStoreContact}.
     */
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
