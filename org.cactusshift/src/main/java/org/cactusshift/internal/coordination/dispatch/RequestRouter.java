package org.cactusshift.internal.coordination.dispatch;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.routing.FleetView;
import org.cactusshift.internal.coordination.routing.RouteQuery;
import org.cactusshift.internal.coordination.routing.RoutingDecision;

/** Asks the routing policy for the upstreams of pending requests. */
final class RequestRouter {
    private final DispatchPolicy policy;
    private final FleetView fleet;
    private final SuspectScheduler suspectScheduler;
    private final LongPromptPartition longPromptPartition;
    private final RandomGenerator random;
    private double nodePosition;

    RequestRouter(
            DispatchPolicy policy,
            FleetView fleet,
            SuspectScheduler suspectScheduler,
            LongPromptPartition longPromptPartition,
            IncarnationId incarnation,
            RandomGenerator random) {
        this.policy = policy;
        this.fleet = fleet;
        this.suspectScheduler = suspectScheduler;
        this.longPromptPartition = longPromptPartition;
        this.random = random;
        this.nodePosition = initialPosition(incarnation);
    }

    /** Returns a position from 0 to below 1, by a Fibonacci hash, for a node whose live peers are not known yet. */
    private static double initialPosition(IncarnationId incarnation) {
        long hash = incarnation.value().hashCode() * 0x9E3779B97F4A7C15L;
        return (hash >>> 11) * 0x1.0p-53;
    }

    void setLiveNodes(int index, int liveNodeCount) {
        nodePosition = (double) index / liveNodeCount;
        longPromptPartition.setLiveNodes(liveNodeCount);
    }

    Optional<RoutingDecision> choose(PendingRequest pending, long nowMillis) {
        return policy.routing().choose(fleet, query(pending, nowMillis), nowMillis, random);
    }

    /** Chooses an upstream other than the given one. */
    Optional<RoutingDecision> chooseOther(PendingRequest pending, UpstreamId current, long nowMillis) {
        Set<UpstreamId> excluded = new HashSet<>(suspectScheduler.reservedIds());
        excluded.add(current);
        return policy.routing().choose(fleet, query(pending, excluded, nowMillis), nowMillis, random);
    }

    RouteQuery query(PendingRequest pending, long nowMillis) {
        return query(pending, suspectScheduler.reservedIds(), nowMillis);
    }

    private RouteQuery query(PendingRequest pending, Set<UpstreamId> excluded, long nowMillis) {
        return new RouteQuery(
                pending.request,
                pending.request.promptTokens() + pending.deliveredTokens,
                pending.remainingOutputTokens(),
                excluded,
                policy.protectsNonRepeatable() && !pending.request.repeatable(),
                longPromptPartition.share(fleet.upstreams().size(), nowMillis),
                nodePosition);
    }
}
