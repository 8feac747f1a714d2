package org.cactusshift.internal.coordination.configsync;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongConsumer;
import org.cactusshift.errors.Failure;

/**
 * Follows the versions that a relay reports and fetches configurations from peers; fetch, follow and unfollow may block
 * and must run on one thread.
 */
final class PeerFollower {
    /** The number of peers that are asked in turn for a first configuration, at most. */
    private static final int MAXIMUM_BOOTSTRAP_PEERS = 16;

    private final ConfigPeerClient peers;
    private final ConfigInstaller installer;
    private final AtomicLong newestPeerVersion = new AtomicLong();
    /** The peer that reported the newest version; empty until one did. */
    private volatile String newestVersionPeerAddress = "";

    private volatile Optional<String> followedAddress = Optional.empty();
    private volatile int respondedPeerCount;
    private Runnable endStream = () -> {};

    PeerFollower(ConfigPeerClient peers, ConfigInstaller installer) {
        this.peers = peers;
        this.installer = installer;
    }

    /** Records the version that a peer reported; the next fetch goes to the peer with the highest version. */
    void recordPeerVersion(String peerAddress, long version) {
        long before = newestPeerVersion.getAndAccumulate(version, Math::max);
        if (version > before) {
            newestVersionPeerAddress = peerAddress;
        }
    }

    /** Fetches from the peer that reported the highest version, or from several peers when no version is installed. */
    void fetch() {
        if (installer.version() == 0) {
            bootstrap();
        } else {
            fetchNewer(newestVersionPeerAddress);
        }
    }

    /** Installs the highest intact version that up to {@link #MAXIMUM_BOOTSTRAP_PEERS} peers return. */
    private void bootstrap() {
        List<ConfigBundle> bundles = new ArrayList<>();
        int responded = 0;
        for (String address :
                peers.addresses().stream().limit(MAXIMUM_BOOTSTRAP_PEERS).toList()) {
            Either<Failure, Optional<ConfigBundle>> response = peers.fetch(address, 0);
            responded += response.isRight() ? 1 : 0;
            response.forEach(bundle -> bundle.ifPresent(bundles::add));
        }
        respondedPeerCount = responded;
        bundles.sort(
                Comparator.comparingLong((ConfigBundle bundle) -> bundle.head().version())
                        .reversed());
        for (ConfigBundle bundle : bundles) {
            installer.announceHead(bundle.head());
            if (installer.offer(bundle) == ConfigReplica.OfferResult.INSTALLED) {
                return;
            }
        }
    }

    private void fetchNewer(String address) {
        long installedVersion = installer.version();
        Either<Failure, Optional<ConfigBundle>> response = peers.fetch(address, installedVersion);
        if (response.isLeft() || response.get().isEmpty()) {
            // The call failed or the peer has no newer version; a later heartbeat of any peer reports the version
            // again.
            newestPeerVersion.compareAndSet(newestPeerVersion.get(), installer.version());
            return;
        }
        installer.announceHead(response.get().get().head());
        if (installer.offer(response.get().get()) == ConfigReplica.OfferResult.INCOMPLETE) {
            peers.fetch(address, 0).forEach(bundle -> bundle.ifPresent(installer::offer));
        }
    }

    /** Follows a relay instead of the current one. */
    void follow(String relayAddress, LongConsumer onVersion) {
        unfollow();
        followedAddress = Optional.of(relayAddress);
        endStream = peers.subscribeToVersions(relayAddress, onVersion, () -> clearFollowed(relayAddress));
    }

    void unfollow() {
        followedAddress = Optional.empty();
        endStream.run();
        endStream = () -> {};
    }

    private void clearFollowed(String relayAddress) {
        if (followedAddress.filter(relayAddress::equals).isPresent()) {
            followedAddress = Optional.empty();
        }
    }

    Optional<String> followedAddress() {
        return followedAddress;
    }

    long newestPeerVersion() {
        return newestPeerVersion.get();
    }

    int respondedPeerCount() {
        return respondedPeerCount;
    }
}
