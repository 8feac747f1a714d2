package org.cactusshift.replay;

/**
 * An upstream of a trace's fleet.
 *
 * @param id the upstream
 * @param service the service
 * @param failureDomain where it runs
 * @param reclaimable whether the platform may take it back
 * @param pricePerHour its price
 * @param memoryPieces KV cache pieces; 0 for a plain service
 */
public record TraceUpstream(
        String id, String service, String failureDomain, boolean reclaimable, double pricePerHour, int memoryPieces) {}
