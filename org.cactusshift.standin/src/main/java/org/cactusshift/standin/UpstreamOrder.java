package org.cactusshift.standin;

import java.util.List;

/**
 * An order for upstreams at the platform.
 *
 * @param orderId the id of the order
 * @param failureDomain the failure domain of the upstreams
 * @param token the idempotency token of the order
 * @param service the service of the upstreams
 * @param count the number of upstreams
 * @param reclaimable whether the platform may take them back
 * @param fencingNumber the fencing number in the order
 * @param state the state
 * @param upstreams the upstreams that run for it, fewer than {@code count} if a start failed; empty unless it is
 *     running
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
    /** The state of an order. */
    public enum State {
        /** The upstreams have not been started yet. */
        PENDING,
        /** The upstreams were started, or those that could be. */
        RUNNING,
        /** The upstreams were released. */
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
