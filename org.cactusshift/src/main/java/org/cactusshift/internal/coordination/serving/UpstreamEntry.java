package org.cactusshift.internal.coordination.serving;

import java.util.OptionalLong;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.SoftwareVersion;
import org.cactusshift.id.UpstreamId;

/**
 * The directory entry that an upstream publishes about itself.
 *
 * @param id the id of the upstream
 * @param service its service
 * @param address the address that it listens on, as {@code ADDRESS:PORT}
 * @param domain its failure domain
 * @param slots the number of requests that it runs concurrently
 * @param leaving whether it accepts no new requests
 * @param stage the stage that it performs
 * @param reclaimable whether it runs on capacity that the platform may reclaim
 * @param softwareVersion the version of its software
 * @param startedAtEpochMillis when it started, 0 when not published; a change under the same id means a new
 *     incarnation, as does a change of the address or the service
 * @param leavesInMillis the time until it terminates, as of the publication of the entry; empty when unknown
 */
public record UpstreamEntry(
        UpstreamId id,
        ServiceId service,
        String address,
        FailureDomainId domain,
        int slots,
        boolean leaving,
        EngineStage stage,
        boolean reclaimable,
        SoftwareVersion softwareVersion,
        long startedAtEpochMillis,
        OptionalLong leavesInMillis) {
    // As for identifiers, not generated; a node compares each entry that an upstream writes again.
    @Override
    public boolean equals(Object other) {
        return other instanceof UpstreamEntry that
                && id.equals(that.id)
                && service.equals(that.service)
                && address.equals(that.address)
                && domain.equals(that.domain)
                && slots == that.slots
                && leaving == that.leaving
                && stage == that.stage
                && reclaimable == that.reclaimable
                && softwareVersion.equals(that.softwareVersion)
                && startedAtEpochMillis == that.startedAtEpochMillis
                && leavesInMillis.equals(that.leavesInMillis);
    }

    @Override
    public int hashCode() {
        return id.hashCode();
    }
}
