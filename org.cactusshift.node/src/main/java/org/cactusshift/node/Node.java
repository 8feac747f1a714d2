package org.cactusshift.node;

import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.util.Optional;
import org.cactusshift.config.NodeSettings;
import org.cactusshift.errors.CactusshiftException;
import org.cactusshift.node.internal.NodeComponents;

/** The node daemon of this process: serves callers and coordinates with the other nodes of its site. */
public final class Node {
    private final NodeComponents components;

    private Node(NodeComponents components) {
        this.components = components;
    }

    /**
     * Starts a node. It accepts connections when the method returns, and becomes ready once it has a configuration.
     *
     * @param settings the settings of the process
     * @return the node
     * @throws CactusshiftException if an address can't be bound or a certificate can't be read
     */
    public static Node start(NodeSettings settings) throws CactusshiftException {
        return start(settings, Optional.empty());
    }

    /**
     * Starts a node that also exports its spans to an additional exporter.
     *
     * @param settings the settings of the process
     * @param spanExporter an additional exporter of spans, or empty
     * @return the node
     * @throws CactusshiftException if an address can't be bound or a certificate can't be read
     */
    public static Node start(NodeSettings settings, Optional<SpanExporter> spanExporter) throws CactusshiftException {
        return new Node(NodeComponents.start(settings, spanExporter));
    }

    /**
     * Returns whether the node accepts requests.
     *
     * @return true if it has a configuration, can decide which API keys are valid, and is not stopping
     */
    public boolean isReady() {
        return components.isReady();
    }

    /**
     * Returns the address that callers connect to.
     *
     * @return the address, as {@code ADDRESS:PORT}
     */
    public String callerAddress() {
        return components.callerAddress();
    }

    /**
     * Returns the address that operators connect to.
     *
     * @return the address, as {@code ADDRESS:PORT}
     */
    public String operatorAddress() {
        return components.operatorAddress();
    }

    /**
     * Returns the address that peers connect to.
     *
     * @return the address, as {@code ADDRESS:PORT}
     */
    public String peerAddress() {
        return components.peerAddress();
    }

    /**
     * Stops gracefully: refuses new requests, completes the open ones within the shutdown timeout of the configuration,
     * hands over usage counts and releases duties.
     *
     * @return false if that timeout expired with requests still open, or if the thread was interrupted while it waited
     *     for them
     */
    public boolean stop() {
        return components.stop();
    }
}
