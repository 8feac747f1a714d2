package org.cactusshift.replay;

/**
 * An upstream in the fleet of a trace.
 *
 * @param id the id of the upstream
 * @param service the id of the service
 * @param failureDomain the id of the failure domain
 * @param reclaimable whether the platform may take it back
 * @param pricePerHour its price per hour, in the currency of the trace
 * @param memoryPieces the size of the KV cache, in blocks; 0 for a plain service
 */
public record TraceUpstream(
        String id, String service, String failureDomain, boolean reclaimable, double pricePerHour, int memoryPieces) {}
