package org.cactusshift.config;

import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.UpstreamId;

/**
 * One declared upstream.
 *
 * @param id the upstream
 * @param service the service that it belongs to
 * @param failureDomain the failure domain that it runs in
 * @param address its IP address and port, as {@code ADDRESS:PORT}
 * @param role the role that it starts with; MIXED for a plain service
 * @param reclaimable whether the platform may take it back at short notice
 * @param checksFencing whether it rejects orders with an old fencing number
 * @param draining whether it is leaving and receives no new work
 * @param pricePerHour the price of one hour, in the currency of the site
 * @param memoryPieces the KV cache memory in pieces of 2,048 tokens; 0 for a plain service
 */
public record UpstreamConfig(
        UpstreamId id,
        ServiceId service,
        FailureDomainId failureDomain,
        String address,
        Role role,
        boolean reclaimable,
        boolean checksFencing,
        boolean draining,
        double pricePerHour,
        int memoryPieces) {
    /** The role of a model engine. */
    public enum Role {
        /** Processes prompts only and exports the KV cache. */
        PREFILL,
        /** Imports KV caches and generates tokens. */
        DECODE,
        /** Does both. */
        MIXED
    }
}
