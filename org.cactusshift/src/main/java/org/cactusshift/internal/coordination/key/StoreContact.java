package org.cactusshift.internal.coordination.key;

import java.util.Objects;
import java.util.OptionalLong;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.InstanceId;

/**
 * A peer's last store contact, as defined at {@link KeyFreshness}, and as reported in its heartbeat response.
 *
 * @param peer the peer
 * @param failureDomain the peer's failure domain
 * @param sentMillis when this node sent the heartbeat, on this node's monotonic clock
 * @param contactMillis the time of the peer's last contact, computed from {@code sentMillis} and the age that the
 *     peer reported; empty when the peer has had none
 * @param configVersion the configuration version that the peer had installed
 */
public record StoreContact(
        InstanceId peer,
        FailureDomainId failureDomain,
        long sentMillis,
        OptionalLong contactMillis,
        long configVersion) {
    /** Checks that no component is null. */
    public StoreContact {
        Objects.requireNonNull(peer, "peer");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(contactMillis, "contactMillis");
    }

    /**
     * Creates a contact from the age in a heartbeat response.
     *
     * @param peer the peer
     * @param failureDomain the peer's failure domain
     * @param sentMillis when this node sent the heartbeat
     * @param contactAgeMillis the age in the response, in milliseconds; negative when the peer has had no contact
     * @param configVersion the configuration version in the response
     * @return the contact
     */
    public static StoreContact of(
            InstanceId peer,
            FailureDomainId failureDomain,
            long sentMillis,
            long contactAgeMillis,
            long configVersion) {
        OptionalLong contact =
                contactAgeMillis < 0 ? OptionalLong.empty() : OptionalLong.of(sentMillis - contactAgeMillis);
        return new StoreContact(peer, failureDomain, sentMillis, contact, configVersion);
    }
}
