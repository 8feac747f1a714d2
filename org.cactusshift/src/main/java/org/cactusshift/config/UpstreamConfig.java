package org.cactusshift.config;

import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.UpstreamId;

/**
 * The configuration of a declared upstream.
 *
 * @param id the upstream
 * @param service the service that the upstream serves
 * @param failureDomain the failure domain of the upstream
 * @param address the IP address and port, as {@code ADDRESS:PORT}
 * @param role the initial role; MIXED for a plain service
 * @param reclaimable whether the platform may reclaim the upstream at short notice
 * @param checksFencing whether the upstream rejects orders with an old fencing number
 * @param draining whether the upstream is being drained and receives no new requests
 * @param pricePerHour the price per hour, in the currency of the site
 * @param memoryPieces the size of the KV cache in blocks of 2,048 tokens; 0 for a plain service
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
        /** Processes prompts and generates tokens. */
        MIXED
    }
}
