package org.cactusshift.internal.coordination.roles;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.cactusshift.config.UpstreamConfig;

/**
 * Follows the share of prompt work at once: the baseline without hysteresis.
 *
 * <p>Above an upper share of prompt work it moves an engine to the prefill role, below a lower one back, as often as it
 * is asked.
 */
public final class ThresholdRolePlanner implements RolePlanner {
    private ThresholdRolePlanner() {}

    /**
     * Returns the planner.
     *
     * @return the planner
     */
    public static ThresholdRolePlanner create() {
        return new ThresholdRolePlanner();
    }

    @Override
    public List<RoleChange> plan(RoleSnapshot snapshot, long nowMillis) {
        EngineRates rates = snapshot.rates();
        double prefillWork = snapshot.fast().promptTokensPerSecond() / rates.prefillTokensPerSecond();
        double decodeWork = snapshot.fast().outputTokensPerSecond() / rates.decodeTokensPerSecond();
        int engines = snapshot.engines().size();
        if (engines < 2 || prefillWork + decodeWork <= 0) {
            return List.of();
        }
        long share = Math.round(engines * prefillWork / (prefillWork + decodeWork));
        int wanted = (int) Math.max(1, Math.min(engines - 1, share));
        List<EngineInRole> ordered = snapshot.engines().stream()
                .sorted(Comparator.<EngineInRole>comparingInt(
                                engine -> engine.role() == UpstreamConfig.Role.PREFILL ? 0 : 1)
                        .thenComparing(EngineInRole::id))
                .toList();
        List<RoleChange> changes = new ArrayList<>();
        for (int i = 0; i < engines; i++) {
            EngineInRole engine = ordered.get(i);
            UpstreamConfig.Role role = i < wanted ? UpstreamConfig.Role.PREFILL : UpstreamConfig.Role.DECODE;
            if (engine.role() != role && !engine.changing()) {
                changes.add(new RoleChange(engine.id(), role, 0));
            }
        }
        return changes.stream().limit(1).toList();
    }
}
