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
 * <p>The gain of a change is the work that it saves over a horizon, computed for the short-term and for the long-term
 * average of the demand, of which the smaller gain is used. Its cost is the work that the engine would have done while
 * it changes. The gain must exceed the cost by a factor, the engine must have been in its role for a minimum time, and
 * the number of changes per hour is limited.
 */
public final class CostBenefitRolePlanner implements RolePlanner {
    private static final double HORIZON_SECONDS = 120;
    private static final double REQUIRED_GAIN_FACTOR = 2;
    private static final long MINIMUM_TIME_IN_ROLE_MILLIS = 120_000;
    private static final long HOUR_MILLIS = 3_600_000;

    private final int maximumChangesPerHour;
    private final ArrayDeque<Long> changeTimesMillis = new ArrayDeque<>();

    private CostBenefitRolePlanner(int maximumChangesPerHour) {
        this.maximumChangesPerHour = maximumChangesPerHour;
    }

    private record Move(UpstreamConfig.Role from, UpstreamConfig.Role to, double gainEngineSeconds) {}

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
        while (!changeTimesMillis.isEmpty() && changeTimesMillis.peekFirst() <= nowMillis - HOUR_MILLIS) {
            changeTimesMillis.removeFirst();
        }
        boolean changing = snapshot.engines().stream().anyMatch(EngineInRole::changing);
        if (changing
                || changeTimesMillis.size() >= maximumChangesPerHour
                || snapshot.engines().size() < 2) {
            return List.of();
        }
        Optional<RoleChange> change = bestMove(snapshot)
                .flatMap(move -> engineFor(move, snapshot, nowMillis)
                        .map(engine -> new RoleChange(engine.id(), move.to(), move.gainEngineSeconds())));
        change.ifPresent(planned -> changeTimesMillis.addLast(nowMillis));
        return change.map(List::of).orElse(List.of());
    }

    private static Optional<Move> bestMove(RoleSnapshot snapshot) {
        RoleSplit split = RoleSplit.of(snapshot.engines());
        Set<UpstreamConfig.Role> present = EnumSet.noneOf(UpstreamConfig.Role.class);
        snapshot.engines().forEach(engine -> present.add(engine.role()));
        return present.stream()
                .flatMap(from -> EnumSet.allOf(UpstreamConfig.Role.class).stream()
                        .filter(to -> to != from)
                        .map(to -> new Move(from, to, gainEngineSeconds(split, split.move(from, to), snapshot))))
                .filter(move -> move.gainEngineSeconds() > 0)
                .max(Comparator.comparingDouble(Move::gainEngineSeconds));
    }

    private static double gainEngineSeconds(RoleSplit current, RoleSplit changed, RoleSnapshot snapshot) {
        EngineRates rates = snapshot.rates();
        double fastGain =
                current.lostWorkInEngines(snapshot.fast(), rates) - changed.lostWorkInEngines(snapshot.fast(), rates);
        double slowGain =
                current.lostWorkInEngines(snapshot.slow(), rates) - changed.lostWorkInEngines(snapshot.slow(), rates);
        double costSeconds =
                rates.changeMillis() / 1_000.0 * current.usedShare(snapshot.fast(), rates) * REQUIRED_GAIN_FACTOR;
        return Math.min(fastGain, slowGain) * HORIZON_SECONDS - costSeconds;
    }

    private static Optional<EngineInRole> engineFor(Move move, RoleSnapshot snapshot, long nowMillis) {
        return snapshot.engines().stream()
                .filter(engine -> engine.role() == move.from())
                .filter(engine -> nowMillis - engine.inRoleSinceMillis() >= MINIMUM_TIME_IN_ROLE_MILLIS
                        || engine.role() == UpstreamConfig.Role.MIXED)
                .min(Comparator.comparingLong(EngineInRole::inRoleSinceMillis).thenComparing(EngineInRole::id));
    }
}
