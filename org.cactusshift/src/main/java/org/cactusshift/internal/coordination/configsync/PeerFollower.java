package org.cactusshift.internal.coordination.configsync;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongConsumer;
import org.cactusshift.errors.Failure;

/** Gets configurations from other nodes; its methods block and run in one thread. */
final class PeerFollower {
    private static final int BOOTSTRAP_PEERS = 16;

    private final ConfigPeerClient peers;
    private final ConfigInstaller installer;
    private final AtomicLong newestPeerVersion = new AtomicLong();
    private volatile String newestVersionAddress = "";
    private volatile Optional<String> followedAddress = Optional.empty();
    private volatile int answeredPeers;
    private Runnable endStream = () -> {};

    PeerFollower(ConfigPeerClient peers, ConfigInstaller installer) {
        this.peers = peers;
        this.installer = installer;
    }

    /** Notes that a peer has a version; the next fetch goes to the peer with the highest one. */
    void recordPeerVersion(String peerAddress, long version) {
        long before = newestPeerVersion.getAndAccumulate(version, Math::max);
        if (version > before) {
            newestVersionAddress = peerAddress;
        }
    }

    /** Fetches a newer version from the peer that has it, or from any peer when none is installed. */
    void fetch() {
        if (installer.version() == 0) {
            bootstrap();
        } else {
            fetchNewer(newestVersionAddress);
        }
    }

    /** Takes the highest version among the answers of several peers. */
    private void bootstrap() {
        List<ConfigBundle> bundles = new ArrayList<>();
        int answered = 0;
        for (String address : peers.addresses().stream().limit(BOOTSTRAP_PEERS).toList()) {
            Either<Failure, Optional<ConfigBundle>> answer = peers.fetch(address, 0);
            answered += answer.isRight() ? 1 : 0;
            answer.forEach(bundle -> bundle.ifPresent(bundles::add));
        }
        answeredPeers = answered;
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
        long have = installer.version();
        Either<Failure, Optional<ConfigBundle>> answer = peers.fetch(address, have);
        if (answer.isLeft() || answer.get().isEmpty()) {
            // The peer is gone or was replaced; a later heartbeat of any peer names the version again.
            newestPeerVersion.compareAndSet(newestPeerVersion.get(), installer.version());
            return;
        }
        installer.announceHead(answer.get().get().head());
        if (installer.offer(answer.get().get()) == ConfigReplica.OfferResult.INCOMPLETE) {
            peers.fetch(address, 0).forEach(bundle -> bundle.ifPresent(installer::offer));
        }
    }

    /** Follows a relay instead of the present one. */
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

    int answeredPeers() {
        return answeredPeers;
    }
}
