package org.cactusshift.internal.coordination.roles;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.cactusshift.config.UpstreamConfig;

/**
 * Adapts the number of prefill engines to the current share of prefill work; a baseline without hysteresis.
 *
 * <p>Each call changes at most one engine towards the split that matches the share of prefill work, with no limit on
 * the frequency of changes; mixed engines are changed to prefill or decode.
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
        double prefillWork = snapshot.shortTermDemand().promptTokensPerSecond() / rates.prefillTokensPerSecond();
        double decodeWork = snapshot.shortTermDemand().outputTokensPerSecond() / rates.decodeTokensPerSecond();
        int engines = snapshot.engines().size();
        if (engines < 2 || prefillWork + decodeWork <= 0) {
            return List.of();
        }
        long proportionalPrefillEngines = Math.round(engines * prefillWork / (prefillWork + decodeWork));
        int targetPrefillEngines = (int) Math.max(1, Math.min(engines - 1, proportionalPrefillEngines));
        List<EngineInRole> ordered = snapshot.engines().stream()
                .sorted(Comparator.<EngineInRole>comparingInt(
                                engine -> engine.role() == UpstreamConfig.Role.PREFILL ? 0 : 1)
                        .thenComparing(EngineInRole::id))
                .toList();
        List<RoleChange> changes = new ArrayList<>();
        for (int i = 0; i < engines; i++) {
            EngineInRole engine = ordered.get(i);
            UpstreamConfig.Role role =
                    i < targetPrefillEngines ? UpstreamConfig.Role.PREFILL : UpstreamConfig.Role.DECODE;
            if (engine.role() != role && !engine.changing()) {
                changes.add(new RoleChange(engine.id(), role, 0));
            }
        }
        return changes.stream().limit(1).toList();
    }
}
