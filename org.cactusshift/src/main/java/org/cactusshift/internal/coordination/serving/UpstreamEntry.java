package org.cactusshift.internal.coordination.serving;

import java.util.OptionalLong;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.UpstreamId;

/**
 * What an upstream says of itself in the directory.
 *
 * @param id the upstream
 * @param service its service
 * @param address where it listens, as {@code ADDRESS:PORT}
 * @param domain its failure domain
 * @param slots the requests that it runs at once
 * @param leaving whether it takes no new work
 * @param stage which part of the work it does
 * @param reclaimable whether it runs on capacity that may be taken away
 * @param startedAtEpochMillis when it started; a change under the same id is a restart; 0 when not told
 * @param leavesInMillis how long until it is gone, when it knows
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
        long startedAtEpochMillis,
        OptionalLong leavesInMillis) {}
