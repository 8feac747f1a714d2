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
 * @param incarnation the start of the instance
 * @param peerAddress where other nodes reach it, as {@code ADDRESS:PORT}
 * @param leaseId the platform lease to which the key is attached; tells a holder's own late write from its present one
 */
public record DutyHolder(InstanceId instance, IncarnationId incarnation, String peerAddress, long leaseId) {
    private static final String SEPARATOR = " ";
    private static final int PARTS = 4;

    /** Checks that no part is missing. */
    public DutyHolder {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(incarnation, "incarnation");
        Objects.requireNonNull(peerAddress, "peerAddress");
    }

    /**
     * Returns the same node with another lease.
     *
     * @param newLeaseId the lease
     * @return the holder
     */
    public DutyHolder withLease(long newLeaseId) {
        return new DutyHolder(instance, incarnation, peerAddress, newLeaseId);
    }

    /**
     * Writes the holder as the bytes of a value.
     *
     * @return the bytes
     */
    public byte[] toBytes() {
        String text =
                String.join(SEPARATOR, instance.value(), incarnation.value(), peerAddress, Long.toString(leaseId));
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Reads a holder from the bytes of a value.
     *
     * @param bytes the bytes
     * @return the holder, empty when the bytes have another form
     */
    public static Optional<DutyHolder> fromBytes(byte[] bytes) {
        String[] parts = new String(bytes, StandardCharsets.UTF_8).split(SEPARATOR, -1);
        if (parts.length != PARTS) {
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
