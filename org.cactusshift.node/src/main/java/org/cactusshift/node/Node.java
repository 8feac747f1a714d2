package org.cactusshift.node;

import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.util.Optional;
import org.cactusshift.config.NodeSettings;
import org.cactusshift.errors.CactusshiftException;
import org.cactusshift.node.internal.NodeComponents;

/** A running node. */
public final class Node {
    private final NodeComponents components;

    private Node(NodeComponents parts) {
        this.components = parts;
    }

    /**
     * Starts a node; it listens when the method returns, and is ready once it has a configuration.
     *
     * @param settings the settings of the process
     * @return the node
     * @throws CactusshiftException if an address can't be bound or a certificate can't be read
     */
    public static Node start(NodeSettings settings) throws CactusshiftException {
        return start(settings, Optional.empty());
    }

    /**
     * Starts a node that hands its spans to one more receiver.
     *
     * @param settings the settings of the process
     * @param spans receives the spans
     * @return the node
     * @throws CactusshiftException if an address can't be bound or a certificate can't be read
     */
    public static Node start(NodeSettings settings, Optional<SpanExporter> spans) throws CactusshiftException {
        return new Node(NodeComponents.start(settings, spans));
    }

    /**
     * Tells whether the node takes requests.
     *
     * @return true when it has a configuration and is not stopping
     */
    public boolean isReady() {
        return components.isReady();
    }

    /**
     * Returns where callers connect.
     *
     * @return the address, as {@code ADDRESS:PORT}
     */
    public String callerAddress() {
        return components.callerAddress();
    }

    /**
     * Returns where operators connect.
     *
     * @return the address, as {@code ADDRESS:PORT}
     */
    public String operatorAddress() {
        return components.operatorAddress();
    }

    /**
     * Returns where other nodes connect.
     *
     * @return the address, as {@code ADDRESS:PORT}
     */
    public String peerAddress() {
        return components.peerAddress();
    }

    /**
     * Stops gracefully: takes no new requests, finishes the open ones, hands over counts and duties.
     *
     * @return false when the limit of the configuration passed with work still open
     */
    public boolean stop() {
        return components.stop();
    }
}
