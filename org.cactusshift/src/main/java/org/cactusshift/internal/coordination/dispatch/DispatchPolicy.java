package org.cactusshift.internal.coordination.dispatch;

import java.util.Objects;
import org.cactusshift.internal.coordination.fairness.FairQueue;
import org.cactusshift.internal.coordination.fairness.FifoQueue;
import org.cactusshift.internal.coordination.fairness.RequestQueue;
import org.cactusshift.internal.coordination.routing.CostRouting;
import org.cactusshift.internal.coordination.routing.RoutingPolicy;

/**
 * The configurable policies of a dispatcher.
 *
 * @param routing the routing policy, which selects the upstream of a request
 * @param queueing the order in which queued requests are dispatched
 * @param refusesEarly whether requests that can't meet their deadline are refused before it expires
 * @param quarantines whether crash-inducing requests are quarantined
 * @param protectsNonRepeatable whether non-repeatable requests are kept off reclaimable upstreams
 */
public record DispatchPolicy(
        RoutingPolicy routing,
        Queueing queueing,
        boolean refusesEarly,
        boolean quarantines,
        boolean protectsNonRepeatable) {
    /** Rejects missing components. */
    public DispatchPolicy {
        Objects.requireNonNull(routing, "routing");
        Objects.requireNonNull(queueing, "queueing");
    }

    /** The order in which queued requests are dispatched. */
    public enum Queueing {
        /** Fair queueing between client accounts. */
        FAIR,
        /** First in, first out. */
        FIFO;

        <T> RequestQueue<T> create() {
            return this == FAIR ? FairQueue.create() : FifoQueue.create();
        }
    }

    /**
     * Returns the policy of production nodes.
     *
     * @return the policy
     */
    public static DispatchPolicy standard() {
        return new DispatchPolicy(CostRouting.create(), Queueing.FAIR, true, true, true);
    }

    /**
     * Returns the policy of a plain load balancer, used as a baseline in comparisons: first in, first out, no early
     * refusal, no quarantine, and no protection of non-repeatable requests.
     *
     * @param routing the routing policy
     * @return the policy
     */
    public static DispatchPolicy baseline(RoutingPolicy routing) {
        return new DispatchPolicy(routing, Queueing.FIFO, false, false, false);
    }
}
