package org.cactusshift.replay;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.cactusshift.internal.coordination.dispatch.DispatchPolicy;
import org.cactusshift.internal.coordination.roles.CostBenefitRolePlanner;
import org.cactusshift.internal.coordination.roles.RolePlanner;
import org.cactusshift.internal.coordination.roles.StaticRolePlanner;
import org.cactusshift.internal.coordination.roles.ThresholdRolePlanner;
import org.cactusshift.internal.coordination.routing.FixedRolesRouting;
import org.cactusshift.internal.coordination.routing.LeastOutstandingRouting;
import org.cactusshift.internal.coordination.routing.PrefixHashRouting;
import org.cactusshift.internal.coordination.routing.RoundRobinRouting;
import org.cactusshift.internal.coordination.routing.RoutingPolicy;

/**
 * A combination of dispatch, role planning and fleet under which a trace is replayed.
 *
 * @param name the name by which the policy is selected
 * @param dispatch creates the dispatch policy of a service at a node; not used for the oracle
 * @param roles creates the role planner of a model
 * @param fleetVariant how the fleet differs from the one declared in the trace
 * @param kind the kind of policy in a comparison
 */
public record ReplayPolicy(
        String name,
        Supplier<DispatchPolicy> dispatch,
        Supplier<RolePlanner> roles,
        FleetVariant fleetVariant,
        Kind kind) {
    /** The policy that nodes run. */
    public static final String STANDARD = "cactusshift";
    /** The standard policy, but with a role planner that follows the request mix without hysteresis. */
    public static final String THRESHOLD_ROLES = "threshold-roles";
    /** The standard policy, but with on-demand upstreams only. */
    public static final String ALL_ON_DEMAND = "all-ordered";
    /** A single dispatcher with the true engine states and output lengths. */
    public static final String ORACLE = "oracle";

    private static final int MAXIMUM_ROLE_CHANGES_PER_HOUR = 12;

    /** How the fleet differs from the one declared in the trace. */
    public enum FleetVariant {
        /** As declared. */
        DECLARED,
        /** As declared, but half of the engines in the prefill role and half in the decode role. */
        SPLIT,
        /** As declared, but all upstreams are on-demand and billed at the on-demand price. */
        ORDERED,
        /** As declared at the start, then as the capacity planner orders and releases upstreams. */
        PLANNED
    }

    /** The kind of a policy in a comparison. */
    public enum Kind {
        /** A conventional load-balancing policy. */
        BASELINE,
        /** The policy of the product, or a variant of it. */
        PRODUCT,
        /** A reference that knows what no real policy can know. */
        ORACLE
    }

    /**
     * Returns all policies, the standard one first.
     *
     * @return the policies
     */
    public static List<ReplayPolicy> all() {
        return List.of(
                product(
                        STANDARD,
                        () -> CostBenefitRolePlanner.create(MAXIMUM_ROLE_CHANGES_PER_HOUR),
                        FleetVariant.DECLARED),
                baseline("round-robin", RoundRobinRouting::create, FleetVariant.DECLARED),
                baseline("least-outstanding", LeastOutstandingRouting::create, FleetVariant.DECLARED),
                baseline("prefix-hash", PrefixHashRouting::create, FleetVariant.DECLARED),
                baseline("fixed-roles", FixedRolesRouting::create, FleetVariant.SPLIT),
                product("all-mixed", StaticRolePlanner::create, FleetVariant.DECLARED),
                product("fixed-split", StaticRolePlanner::create, FleetVariant.SPLIT),
                product(THRESHOLD_ROLES, ThresholdRolePlanner::create, FleetVariant.DECLARED),
                product(
                        ALL_ON_DEMAND,
                        () -> CostBenefitRolePlanner.create(MAXIMUM_ROLE_CHANGES_PER_HOUR),
                        FleetVariant.ORDERED),
                product(
                        "planned-capacity",
                        () -> CostBenefitRolePlanner.create(MAXIMUM_ROLE_CHANGES_PER_HOUR),
                        FleetVariant.PLANNED),
                new ReplayPolicy(
                        ORACLE,
                        DispatchPolicy::standard,
                        StaticRolePlanner::create,
                        FleetVariant.DECLARED,
                        Kind.ORACLE));
    }

    private static ReplayPolicy baseline(String name, Supplier<RoutingPolicy> routing, FleetVariant fleetVariant) {
        return new ReplayPolicy(
                name,
                () -> DispatchPolicy.baseline(routing.get()),
                StaticRolePlanner::create,
                fleetVariant,
                Kind.BASELINE);
    }

    private static ReplayPolicy product(String name, Supplier<RolePlanner> roles, FleetVariant fleetVariant) {
        return new ReplayPolicy(name, DispatchPolicy::standard, roles, fleetVariant, Kind.PRODUCT);
    }

    /**
     * Returns a policy.
     *
     * @param name its name
     * @return the policy, or empty if no policy has that name
     */
    public static Optional<ReplayPolicy> find(String name) {
        return all().stream().filter(policy -> policy.name().equals(name)).findFirst();
    }
}
