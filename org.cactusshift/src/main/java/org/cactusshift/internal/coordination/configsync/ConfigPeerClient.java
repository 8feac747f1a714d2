package org.cactusshift.internal.coordination.configsync;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.function.LongConsumer;
import org.cactusshift.errors.Failure;

/** Requests configurations from peers. */
public interface ConfigPeerClient {
    /**
     * Returns the peer addresses of peers that may have a configuration, live peers first.
     *
     * @return the addresses; may be empty
     */
    List<String> addresses();

    /**
     * Fetches the configuration that is installed on a peer; blocks until the peer responds or a timeout expires.
     *
     * @param peerAddress the address of the peer
     * @param installedVersion the version installed on this node, whose parts the peer may omit; 0 requests all parts
     * @return the bundle, empty when the peer has no newer version, or the failure
     */
    Either<Failure, Optional<ConfigBundle>> fetch(String peerAddress, long installedVersion);

    /**
     * Opens a stream on which a peer reports each version that it installs.
     *
     * @param peerAddress the address of the peer
     * @param onVersion receives the versions
     * @param onEnd runs once after the stream has ended
     * @return closes the stream when run
     */
    Runnable subscribeToVersions(String peerAddress, LongConsumer onVersion, Runnable onEnd);
}
