package org.cactusshift.standin.platform;

import org.cactusshift.config.ServiceConfig;
import org.cactusshift.config.ServiceConfig.Kind;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.config.UpstreamConfig.Role;

/**
 * The specification of an upstream that a {@link StandInPlatform} starts.
 *
 * @param upstreamId the id of the upstream
 * @param service the service of the upstream
 * @param kind the kind of the service: a model, whose upstreams are engines, or a plain service
 * @param version the model version that is loaded at the start; empty for an upstream of a plain service
 * @param failureDomain the failure domain
 * @param role the role at the start; ignored for an upstream of a plain service
 * @param memoryBlocks the size of the KV cache, in blocks of 2,048 tokens; 0 for an upstream of a plain service
 * @param reclaimable whether the platform may take it back
 * @param checksFencing whether it rejects orders with a stale fencing number
 */
public record UpstreamSpec(
        String upstreamId,
        String service,
        Kind kind,
        String version,
        String failureDomain,
        Role role,
        int memoryBlocks,
        boolean reclaimable,
        boolean checksFencing) {
    private static final int DEFAULT_MEMORY_BLOCKS = 64;

    /**
     * Returns the specification of a configured upstream.
     *
     * @param upstream the configuration of the upstream
     * @param service the service of the upstream
     * @return the specification
     */
    public static UpstreamSpec of(UpstreamConfig upstream, ServiceConfig service) {
        return new UpstreamSpec(
                upstream.id().value(),
                service.id().value(),
                service.kind(),
                service.activeVersion(),
                upstream.failureDomain().value(),
                upstream.role(),
                upstream.memoryPieces(),
                upstream.reclaimable(),
                upstream.checksFencing());
    }

    /**
     * Returns the specification of an engine in the mixed role that checks fencing numbers.
     *
     * @param upstreamId the id of the upstream
     * @param service the model
     * @param failureDomain the failure domain
     * @return the specification
     */
    public static UpstreamSpec engine(String upstreamId, String service, String failureDomain) {
        return new UpstreamSpec(
                upstreamId, service, Kind.MODEL, "1", failureDomain, Role.MIXED, DEFAULT_MEMORY_BLOCKS, false, true);
    }

    /**
     * Returns the specification of an upstream of a plain service.
     *
     * @param upstreamId the id of the upstream
     * @param service the service
     * @param failureDomain the failure domain
     * @return the specification
     */
    public static UpstreamSpec plain(String upstreamId, String service, String failureDomain) {
        return new UpstreamSpec(upstreamId, service, Kind.PLAIN, "", failureDomain, Role.MIXED, 0, false, false);
    }

    /**
     * Returns this specification for a reclaimable or an on-demand upstream.
     *
     * @param reclaimable whether the platform may take the upstream back
     * @return the specification
     */
    public UpstreamSpec withReclaimable(boolean reclaimable) {
        return new UpstreamSpec(
                upstreamId, service, kind, version, failureDomain, role, memoryBlocks, reclaimable, checksFencing);
    }

    /**
     * Returns this specification with the check of fencing numbers on or off.
     *
     * @param checksFencing whether it rejects orders with a stale fencing number
     * @return the specification
     */
    public UpstreamSpec withFencing(boolean checksFencing) {
        return new UpstreamSpec(
                upstreamId, service, kind, version, failureDomain, role, memoryBlocks, reclaimable, checksFencing);
    }
}
