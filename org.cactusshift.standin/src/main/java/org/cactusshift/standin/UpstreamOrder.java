package org.cactusshift.standin;

import java.util.List;

/**
 * One order for upstreams.
 *
 * @param orderId the order
 * @param failureDomain where the upstreams run
 * @param token the token that makes repeating the order harmless
 * @param service the service that the upstreams belong to
 * @param count how many upstreams
 * @param reclaimable whether the platform may take them back
 * @param fencingNumber the fencing number that the order carried
 * @param state where it stands
 * @param upstreams the upstreams that run for it
 */
public record UpstreamOrder(
        String orderId,
        String failureDomain,
        String token,
        String service,
        int count,
        boolean reclaimable,
        long fencingNumber,
        State state,
        List<LaunchedUpstream> upstreams) {
    /** Where an order stands. */
    public enum State {
        /** Its upstreams do not run yet. */
        PENDING,
        /** Its upstreams run. */
        RUNNING,
        /** Its upstreams were released. */
        RELEASED
    }

    UpstreamOrder withState(State newState, List<LaunchedUpstream> newUpstreams) {
        return new UpstreamOrder(
                orderId,
                failureDomain,
                token,
                service,
                count,
                reclaimable,
                fencingNumber,
                newState,
                List.copyOf(newUpstreams));
    }
}
