package org.cactusshift.internal.coordination.dispatch;

import java.util.Objects;
import org.cactusshift.internal.coordination.fairness.FairQueue;
import org.cactusshift.internal.coordination.fairness.FifoQueue;
import org.cactusshift.internal.coordination.fairness.RequestQueue;
import org.cactusshift.internal.coordination.routing.CostRouting;
import org.cactusshift.internal.coordination.routing.RoutingPolicy;

/**
 * The parts of a dispatcher that vary.
 *
 * @param routing how an upstream is chosen
 * @param queueing in which order requests are served
 * @param refusesEarly whether requests that can't meet their deadline are refused before it passes
 * @param quarantines whether crash-inducing requests are held back
 * @param protectsNonRepeatable whether requests that may not be sent again stay off reclaimable upstreams
 */
public record DispatchPolicy(
        RoutingPolicy routing,
        Queueing queueing,
        boolean refusesEarly,
        boolean quarantines,
        boolean protectsNonRepeatable) {
    /** Checks that no part is missing. */
    public DispatchPolicy {
        Objects.requireNonNull(routing, "routing");
        Objects.requireNonNull(queueing, "queueing");
    }

    /** The order in which requests are served. */
    public enum Queueing {
        /** Fair between client accounts. */
        FAIR,
        /** First in, first out. */
        FIFO;

        <T> RequestQueue<T> create() {
            return this == FAIR ? FairQueue.create() : FifoQueue.create();
        }
    }

    /**
     * Returns the policy that nodes run.
     *
     * @return the policy
     */
    public static DispatchPolicy standard() {
        return new DispatchPolicy(CostRouting.create(), Queueing.FAIR, true, true, true);
    }

    /**
     * Returns a plain balancer, the sort that others are measured against: first in, first out, no early refusal, no
     * quarantine.
     *
     * @param routing how an upstream is chosen
     * @return the policy
     */
    public static DispatchPolicy baseline(RoutingPolicy routing) {
        return new DispatchPolicy(routing, Queueing.FIFO, false, false, false);
    }
}
