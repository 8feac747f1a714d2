package org.cactusshift.internal.coordination.serving;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.cactusshift.id.UpstreamId;

/**
 * Plans which engines prefill prompts and which decode.
 *
 * <p>Prefill takes most of an engine's time and shared prompt parts fill its KV cache, while one engine decodes many
 * requests together. Therefore fewer than half of the engines decode and the others prefill. On-demand engines are
 * chosen for decode, spread over failure domains, because losing a decode costs more than losing a prefill.
 */
public final class StagePlanner {
    private static final double DECODE_FRACTION = 0.4;
    private static final int MINIMUM_DECODE_ENGINES = 2;

    /** No stage changes while the fraction of decode engines lies between these two. */
    private static final double MINIMUM_DECODE_FRACTION = 0.3;

    private static final double MAXIMUM_DECODE_FRACTION = 0.48;

    private StagePlanner() {}

    /**
     * A change of stage.
     *
     * @param engine the engine
     * @param stage the new stage
     */
    public record Change(Upstream engine, EngineStage stage) {}

    /**
     * Plans the changes of stage. As each change takes an engine out of service for seconds, none is planned while the
     * fraction of decode engines is close to the target, not even to improve the spread over failure domains.
     *
     * @param engines the engines of a service that are not leaving
     * @param orderedStages the stages that engines were recently ordered to change to
     * @return the changes, the most urgent first
     */
    public static List<Change> plan(List<Upstream> engines, Map<UpstreamId, EngineStage> orderedStages) {
        List<Change> changes = new ArrayList<>();
        if (engines.size() <= MINIMUM_DECODE_ENGINES
                || engines.stream().anyMatch(engine -> engine.entry().stage() == EngineStage.ANY)) {
            return changes;
        }
        List<Upstream> decodeEngines = new ArrayList<>();
        List<Upstream> prefillEngines = new ArrayList<>();
        for (Upstream engine : engines) {
            (stage(engine, orderedStages) == EngineStage.DECODE ? decodeEngines : prefillEngines).add(engine);
        }
        int wanted = Math.max(MINIMUM_DECODE_ENGINES, (int) Math.ceil(DECODE_FRACTION * engines.size()));
        int fewest = Math.max(MINIMUM_DECODE_ENGINES, (int) Math.ceil(MINIMUM_DECODE_FRACTION * engines.size()));
        int most = Math.max(wanted, (int) Math.floor(MAXIMUM_DECODE_FRACTION * engines.size()));
        if (decodeEngines.size() < fewest) {
            while (decodeEngines.size() < wanted && !prefillEngines.isEmpty()) {
                Upstream engine = best(prefillEngines, decodeEngines);
                prefillEngines.remove(engine);
                decodeEngines.add(engine);
                changes.add(new Change(engine, EngineStage.DECODE));
            }
        } else if (decodeEngines.size() > most) {
            while (decodeEngines.size() > wanted) {
                Upstream engine = worst(decodeEngines);
                decodeEngines.remove(engine);
                changes.add(new Change(engine, EngineStage.PREFILL));
            }
        }
        return changes;
    }

    /**
     * Returns the best candidate for decode: on-demand engines first, then those in failure domains with the fewest
     * decode engines.
     */
    private static Upstream best(List<Upstream> candidates, List<Upstream> decodeEngines) {
        return candidates.stream()
                .min(Comparator.<Upstream, Boolean>comparing(
                                engine -> engine.entry().reclaimable())
                        .thenComparing(engine -> countInDomainOf(decodeEngines, engine))
                        .thenComparing(Upstream::id))
                .orElseThrow();
    }

    private static Upstream worst(List<Upstream> decodeEngines) {
        return decodeEngines.stream()
                .max(Comparator.<Upstream, Boolean>comparing(
                                engine -> engine.entry().reclaimable())
                        .thenComparing(engine -> countInDomainOf(decodeEngines, engine))
                        .thenComparing(Upstream::id))
                .orElseThrow();
    }

    private static long countInDomainOf(List<Upstream> engines, Upstream reference) {
        return engines.stream()
                .filter(engine ->
                        engine.entry().domain().equals(reference.entry().domain()))
                .count();
    }

    private static EngineStage stage(Upstream engine, Map<UpstreamId, EngineStage> orderedStages) {
        return orderedStages.getOrDefault(engine.id(), engine.entry().stage());
    }
}
