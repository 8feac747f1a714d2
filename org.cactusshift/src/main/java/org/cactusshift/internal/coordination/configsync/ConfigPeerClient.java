package org.cactusshift.internal.coordination.configsync;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.function.LongConsumer;
import org.cactusshift.errors.Failure;

/** The other nodes as sources of configuration. */
public interface ConfigPeerClient {
    /**
     * Returns the peer addresses of nodes that may have a configuration, live ones first.
     *
     * @return the addresses; may be empty
     */
    List<String> addresses();

    /**
     * Fetches what a peer has installed; blocks until an answer or a timeout.
     *
     * @param peerAddress the peer
     * @param haveVersion the version installed here, whose parts the peer may leave out; 0 asks for everything
     * @return the bundle, empty when the peer has nothing newer, or the failure
     */
    Either<Failure, Optional<ConfigBundle>> fetch(String peerAddress, long haveVersion);

    /**
     * Opens a stream on which a peer tells of each version that it installs.
     *
     * @param peerAddress the peer
     * @param onVersion receives the versions
     * @param onEnd runs once when the stream has ended
     * @return ends the stream
     */
    Runnable subscribeToVersions(String peerAddress, LongConsumer onVersion, Runnable onEnd);
}
