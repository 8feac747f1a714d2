package org.cactusshift.internal.coordination.roles;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cactusshift.config.UpstreamConfig;

/**
 * Changes the role of one engine at a time, and only when the expected gain outweighs its time out of service.
 *
 * <p>The gain of a change is the reduction of lost work (see {@link RoleSplit}) over a horizon, computed for the
 * short-term and for the long-term average of the demand, of which the smaller gain is used. Its cost is the work that
 * the engine would have done while it changes. The gain must exceed the cost by a factor, the engine must have been in
 * its role for a minimum time unless it is mixed, and the number of changes per hour is limited.
 */
public final class CostBenefitRolePlanner implements RolePlanner {
    /** The time over which the gain of a change is counted. */
    private static final double HORIZON_SECONDS = 120;

    /** The gain must exceed the cost by this factor. */
    private static final double REQUIRED_GAIN_FACTOR = 2;

    /** The minimum time in a role before the next change; mixed engines may change at any time. */
    private static final long MINIMUM_TIME_IN_ROLE_MILLIS = 120_000;

    private static final long HOUR_MILLIS = 3_600_000;

    private final int maximumChangesPerHour;
    private final ArrayDeque<Long> recentChangeTimesMillis = new ArrayDeque<>();

    private CostBenefitRolePlanner(int maximumChangesPerHour) {
        this.maximumChangesPerHour = maximumChangesPerHour;
    }

    /**
     * A candidate role change, of an engine that is yet to be selected. The net gain is the gain less
     * {@link #REQUIRED_GAIN_FACTOR} times the cost.
     */
    private record RoleTransition(UpstreamConfig.Role from, UpstreamConfig.Role to, double netGainEngineSeconds) {}

    /**
     * Returns the planner.
     *
     * @param maximumChangesPerHour the maximum number of changes in any hour
     * @return the planner
     */
    public static CostBenefitRolePlanner create(int maximumChangesPerHour) {
        return new CostBenefitRolePlanner(maximumChangesPerHour);
    }

    @Override
    public List<RoleChange> plan(RoleSnapshot snapshot, long nowMillis) {
        while (!recentChangeTimesMillis.isEmpty() && recentChangeTimesMillis.peekFirst() <= nowMillis - HOUR_MILLIS) {
            recentChangeTimesMillis.removeFirst();
        }
        boolean changing = snapshot.engines().stream().anyMatch(EngineInRole::changing);
        if (changing
                || recentChangeTimesMillis.size() >= maximumChangesPerHour
                || snapshot.engines().size() < 2) {
            return List.of();
        }
        Optional<RoleChange> change = bestTransition(snapshot)
                .flatMap(transition -> longestInRole(transition, snapshot, nowMillis)
                        .map(engine ->
                                new RoleChange(engine.id(), transition.to(), transition.netGainEngineSeconds())));
        change.ifPresent(planned -> recentChangeTimesMillis.addLast(nowMillis));
        return change.map(List::of).orElse(List.of());
    }

    private static Optional<RoleTransition> bestTransition(RoleSnapshot snapshot) {
        RoleSplit split = RoleSplit.of(snapshot.engines());
        Set<UpstreamConfig.Role> present = EnumSet.noneOf(UpstreamConfig.Role.class);
        snapshot.engines().forEach(engine -> present.add(engine.role()));
        return present.stream()
                .flatMap(from -> EnumSet.allOf(UpstreamConfig.Role.class).stream()
                        .filter(to -> to != from)
                        .map(to -> new RoleTransition(
                                from, to, netGainEngineSeconds(split, split.withRoleChange(from, to), snapshot))))
                .filter(transition -> transition.netGainEngineSeconds() > 0)
                .max(Comparator.comparingDouble(RoleTransition::netGainEngineSeconds));
    }

    private static double netGainEngineSeconds(RoleSplit current, RoleSplit changed, RoleSnapshot snapshot) {
        EngineRates rates = snapshot.rates();
        double shortTermGainEngines = current.lostWorkInEngines(snapshot.shortTermDemand(), rates)
                - changed.lostWorkInEngines(snapshot.shortTermDemand(), rates);
        double longTermGainEngines = current.lostWorkInEngines(snapshot.longTermDemand(), rates)
                - changed.lostWorkInEngines(snapshot.longTermDemand(), rates);
        double requiredGainEngineSeconds = rates.roleChangeMillis()
                / 1_000.0
                * current.utilization(snapshot.shortTermDemand(), rates)
                * REQUIRED_GAIN_FACTOR;
        return Math.min(shortTermGainEngines, longTermGainEngines) * HORIZON_SECONDS - requiredGainEngineSeconds;
    }

    /** Returns the engine that has been in the role the longest, among those that may change. */
    private static Optional<EngineInRole> longestInRole(
            RoleTransition transition, RoleSnapshot snapshot, long nowMillis) {
        return snapshot.engines().stream()
                .filter(engine -> engine.role() == transition.from())
                .filter(engine -> nowMillis - engine.inRoleSinceMillis() >= MINIMUM_TIME_IN_ROLE_MILLIS
                        || engine.role() == UpstreamConfig.Role.MIXED)
                .min(Comparator.comparingLong(EngineInRole::inRoleSinceMillis).thenComparing(EngineInRole::id));
    }
}
