package org.cactusshift.standin.platform;

import org.cactusshift.config.ServiceConfig;
import org.cactusshift.config.ServiceConfig.Kind;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.config.UpstreamConfig.Role;

/**
 * One upstream for a {@link StandInPlatform} to start.
 *
 * @param upstreamId its name
 * @param service the service that it belongs to
 * @param kind whether it is a model engine or a plain instance
 * @param version the model version loaded at the start; empty for a plain instance
 * @param failureDomain where it runs
 * @param role the role at the start
 * @param memoryBlocks the KV cache memory in pieces; 0 for a plain instance
 * @param reclaimable whether the platform may take it back
 * @param checksFencing whether it rejects orders with an old fencing number
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
    private static final int DEFAULT_MEMORY_PIECES = 64;

    /**
     * Returns the upstream that a configuration declares.
     *
     * @param upstream the declaration
     * @param service the service that it belongs to
     * @return the upstream
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
     * Returns a mixed engine that checks fencing numbers.
     *
     * @param upstreamId its name
     * @param service the model
     * @param failureDomain where it runs
     * @return the upstream
     */
    public static UpstreamSpec engine(String upstreamId, String service, String failureDomain) {
        return new UpstreamSpec(
                upstreamId, service, Kind.MODEL, "1", failureDomain, Role.MIXED, DEFAULT_MEMORY_PIECES, false, true);
    }

    /**
     * Returns an instance of a plain service.
     *
     * @param upstreamId its name
     * @param service the service
     * @param failureDomain where it runs
     * @return the upstream
     */
    public static UpstreamSpec plain(String upstreamId, String service, String failureDomain) {
        return new UpstreamSpec(upstreamId, service, Kind.PLAIN, "", failureDomain, Role.MIXED, 0, false, false);
    }

    /**
     * Returns this upstream on capacity that the platform may take back, or not.
     *
     * @param reclaimable whether it may
     * @return the upstream
     */
    public UpstreamSpec withReclaimable(boolean reclaimable) {
        return new UpstreamSpec(
                upstreamId, service, kind, version, failureDomain, role, memoryBlocks, reclaimable, checksFencing);
    }

    /**
     * Returns this upstream with another habit of checking.
     *
     * @param checksFencing whether it rejects orders with an old fencing number
     * @return the upstream
     */
    public UpstreamSpec withFencing(boolean checksFencing) {
        return new UpstreamSpec(
                upstreamId, service, kind, version, failureDomain, role, memoryBlocks, reclaimable, checksFencing);
    }
}
