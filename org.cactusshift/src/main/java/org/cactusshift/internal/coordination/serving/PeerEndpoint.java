package org.cactusshift.internal.coordination.serving;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.InstanceId;

/**
 * Where a node takes messages of its peers and requests that they pass on, as it wrote it to the store.
 *
 * @param node the node
 * @param domain its failure domain
 * @param address the address, as {@code ADDRESS:PORT}
 * @param token the token that the node expects
 */
public record PeerEndpoint(InstanceId node, FailureDomainId domain, String address, PeerToken token) {
    private static final String SEPARATOR = " ";
    private static final int PART_COUNT = 4;

    /**
     * Encodes the endpoint as the value of a key: node, address, token and domain as UTF-8 text, separated by a space.
     *
     * @return the bytes
     */
    public byte[] toBytes() {
        return String.join(SEPARATOR, node.value(), address, token.value(), domain.value())
                .getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Decodes an endpoint from the value of a key.
     *
     * @param bytes the bytes
     * @return the endpoint; empty when the bytes are malformed
     */
    public static Optional<PeerEndpoint> fromBytes(byte[] bytes) {
        String[] parts = new String(bytes, StandardCharsets.UTF_8).split(SEPARATOR, -1);
        if (parts.length != PART_COUNT) {
            return Optional.empty();
        }
        try {
            return Optional.of(new PeerEndpoint(
                    InstanceId.fromString(parts[0]),
                    FailureDomainId.fromString(parts[3]),
                    parts[1],
                    new PeerToken(parts[2])));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
