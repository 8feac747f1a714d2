package org.cactusshift.internal.coordination.serving;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.UpstreamId;

/**
 * Plans which engines read prompts and which produce output.
 *
 * <p>Reading takes most of an engine's time and shared parts fill its memory, while many outputs run together on one
 * engine. So less than half of the engines produce output and the others read. Outputs run on engines that last and are
 * spread over failure domains, since a lost output costs more than a lost reading.
 */
public final class StagePlanner {
    private static final double OUTPUT_PART = 0.4;
    private static final int FEWEST_OUTPUT = 2;

    /** An engine changes its stage only if the plan holds for its part of the fleet even after the loss of one. */
    private static final int SPARE_OUTPUT = 1;

    private StagePlanner() {}

    /**
     * A change of stage.
     *
     * @param engine the engine
     * @param stage the new stage
     */
    public record Change(Upstream engine, EngineStage stage) {}

    /**
     * Plans changes. While enough engines produce output nothing changes for the sake of a better spread, as each
     * change takes an engine out of service for seconds.
     *
     * @param engines the engines of a service that are not leaving
     * @param underWay the stages that engines were ordered to take lately
     * @return the changes, the most needed first
     */
    public static List<Change> plan(List<Upstream> engines, Map<UpstreamId, EngineStage> underWay) {
        int wanted = Math.max(FEWEST_OUTPUT, (int) Math.ceil(OUTPUT_PART * engines.size()));
        List<Change> changes = new ArrayList<>();
        if (engines.size() <= FEWEST_OUTPUT
                || engines.stream().anyMatch(engine -> engine.entry().stage() == EngineStage.ANY)) {
            return changes;
        }
        Set<Upstream> output = new HashSet<>(choose(engines, wanted, underWay));
        for (Upstream engine : output) {
            if (stage(engine, underWay) == EngineStage.PREFILL) {
                changes.add(new Change(engine, EngineStage.DECODE));
            }
        }
        long present = engines.stream()
                .filter(engine -> stage(engine, underWay) == EngineStage.DECODE)
                .count();
        long surplus = present - wanted - (changes.isEmpty() ? 0 : SPARE_OUTPUT);
        for (Upstream engine : engines) {
            if (surplus > 0 && stage(engine, underWay) == EngineStage.DECODE && !output.contains(engine)) {
                changes.add(new Change(engine, EngineStage.PREFILL));
                surplus--;
            }
        }
        return changes;
    }

    private static EngineStage stage(Upstream engine, Map<UpstreamId, EngineStage> underWay) {
        return underWay.getOrDefault(engine.id(), engine.entry().stage());
    }

    /** Prefers engines that last, then such that produce output already, spread over failure domains. */
    private static List<Upstream> choose(List<Upstream> engines, int wanted, Map<UpstreamId, EngineStage> underWay) {
        List<Upstream> left = new ArrayList<>(engines);
        List<Upstream> chosen = new ArrayList<>();
        Map<FailureDomainId, Integer> byDomain = new HashMap<>();
        while (chosen.size() < wanted && !left.isEmpty()) {
            Upstream next = left.stream()
                    .min(Comparator.<Upstream, Boolean>comparing(
                                    engine -> engine.entry().reclaimable())
                            .thenComparing(engine ->
                                    byDomain.getOrDefault(engine.entry().domain(), 0))
                            .thenComparing(engine -> stage(engine, underWay) != EngineStage.DECODE)
                            .thenComparing(Upstream::id))
                    .orElseThrow();
            left.remove(next);
            chosen.add(next);
            byDomain.merge(next.entry().domain(), 1, Integer::sum);
        }
        return chosen;
    }
}
