package org.cactusshift.internal.coordination.key;

import java.util.Objects;
import java.util.OptionalLong;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.InstanceId;

/**
 * What a peer's answer to a heartbeat says about the key-value service.
 *
 * @param peer the peer
 * @param failureDomain the peer's failure domain
 * @param sentMillis when this node sent the heartbeat, monotonic clock of this node
 * @param contactMillis the time of the peer's last contact, counted back from {@code askedMillis} by the age that the
 *     peer gave; empty when the peer has had none
 * @param configVersion the configuration version that the peer had installed
 */
public record StoreContact(
        InstanceId peer,
        FailureDomainId failureDomain,
        long sentMillis,
        OptionalLong contactMillis,
        long configVersion) {
    /** Checks that no part is missing. */
    public StoreContact {
        Objects.requireNonNull(peer, "peer");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(contactMillis, "contactMillis");
    }

    /**
     * Returns the contact of an answer with the age as it is sent.
     *
     * @param peer the peer
     * @param failureDomain the peer's failure domain
     * @param askedMillis when this node sent the heartbeat
     * @param contactAgeMillis the age in the answer; negative when the peer has had no contact
     * @param configVersion the configuration version in the answer
     * @return the contact
     */
    public static StoreContact of(
            InstanceId peer,
            FailureDomainId failureDomain,
            long askedMillis,
            long contactAgeMillis,
            long configVersion) {
        OptionalLong contact =
                contactAgeMillis < 0 ? OptionalLong.empty() : OptionalLong.of(askedMillis - contactAgeMillis);
        return new StoreContact(peer, failureDomain, askedMillis, contact, configVersion);
    }
}
