package org.cactusshift.internal.coordination.lease;

import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.Optional;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.InstanceId;

/**
 * The holder of a duty, as written under the duty's key.
 *
 * @param instance the instance
 * @param incarnation the incarnation of the node on that instance
 * @param peerAddress the address for calls from other nodes, as {@code ADDRESS:PORT}
 * @param leaseId the store lease to which the key is attached; a node that now has another lease does not treat the key
 *     as its own, even if it wrote it
 */
public record DutyHolder(InstanceId instance, IncarnationId incarnation, String peerAddress, long leaseId) {
    private static final String SEPARATOR = " ";
    private static final int PART_COUNT = 4;

    /** Checks that no component is null. */
    public DutyHolder {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(incarnation, "incarnation");
        Objects.requireNonNull(peerAddress, "peerAddress");
    }

    /**
     * Returns a copy of this holder with another lease.
     *
     * @param newLeaseId the lease
     * @return the holder
     */
    public DutyHolder withLease(long newLeaseId) {
        return new DutyHolder(instance, incarnation, peerAddress, newLeaseId);
    }

    /**
     * Encodes the holder as the value of a duty key: the components as UTF-8 text, in order, separated by a space.
     *
     * @return the bytes
     */
    public byte[] toBytes() {
        String text =
                String.join(SEPARATOR, instance.value(), incarnation.value(), peerAddress, Long.toString(leaseId));
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Decodes a holder from the value of a duty key.
     *
     * @param bytes the bytes
     * @return the holder; empty when the bytes are malformed
     */
    public static Optional<DutyHolder> fromBytes(byte[] bytes) {
        String[] parts = new String(bytes, StandardCharsets.UTF_8).split(SEPARATOR, -1);
        if (parts.length != PART_COUNT) {
            return Optional.empty();
        }
        try {
            return Optional.of(new DutyHolder(
                    InstanceId.fromString(parts[0]),
                    IncarnationId.fromString(parts[1]),
                    parts[2],
                    Long.parseLong(parts[3])));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
