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
 * requests together. Therefore about 40 % of the engines decode, at least two, and the others prefill. On-demand
 * engines are chosen for decode, spread over failure domains, because losing a decode costs more than losing a prefill.
 */
public final class StagePlanner {
    /** The fraction of decode engines that a plan restores, rounded up to whole engines. */
    private static final double TARGET_DECODE_FRACTION = 0.4;

    private static final int MINIMUM_DECODE_ENGINES = 2;

    /**
     * Hysteresis: no stage changes while the number of decode engines lies between these fractions, rounded to whole
     * engines; the upper bound is never below the target.
     */
    private static final double LOWER_DECODE_FRACTION = 0.3;

    private static final double UPPER_DECODE_FRACTION = 0.48;

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
     * @param pendingStages the new stages of engines whose ordered change is pending; these replace the reported stages
     * @return the changes, the most urgent first; empty when there are at most two engines or any engine reports no
     *     stage
     */
    public static List<Change> plan(List<Upstream> engines, Map<UpstreamId, EngineStage> pendingStages) {
        List<Change> changes = new ArrayList<>();
        if (engines.size() <= MINIMUM_DECODE_ENGINES
                || engines.stream().anyMatch(engine -> engine.entry().stage() == EngineStage.ANY)) {
            return changes;
        }
        List<Upstream> decodeEngines = new ArrayList<>();
        List<Upstream> prefillEngines = new ArrayList<>();
        for (Upstream engine : engines) {
            (stage(engine, pendingStages) == EngineStage.DECODE ? decodeEngines : prefillEngines).add(engine);
        }
        int wanted = Math.max(MINIMUM_DECODE_ENGINES, (int) Math.ceil(TARGET_DECODE_FRACTION * engines.size()));
        int fewest = Math.max(MINIMUM_DECODE_ENGINES, (int) Math.ceil(LOWER_DECODE_FRACTION * engines.size()));
        int most = Math.max(wanted, (int) Math.floor(UPPER_DECODE_FRACTION * engines.size()));
        if (decodeEngines.size() < fewest) {
            while (decodeEngines.size() < wanted && !prefillEngines.isEmpty()) {
                Upstream engine = nextDecodeEngine(prefillEngines, decodeEngines);
                prefillEngines.remove(engine);
                decodeEngines.add(engine);
                changes.add(new Change(engine, EngineStage.DECODE));
            }
        } else if (decodeEngines.size() > most) {
            while (decodeEngines.size() > wanted) {
                Upstream engine = nextPrefillEngine(decodeEngines);
                decodeEngines.remove(engine);
                changes.add(new Change(engine, EngineStage.PREFILL));
            }
        }
        return changes;
    }

    /**
     * Returns the engine to change to decode next: on-demand engines first, then those in failure domains with the
     * fewest decode engines.
     */
    private static Upstream nextDecodeEngine(List<Upstream> candidates, List<Upstream> decodeEngines) {
        return candidates.stream()
                .min(Comparator.<Upstream, Boolean>comparing(
                                engine -> engine.entry().reclaimable())
                        .thenComparing(engine -> countInDomainOf(decodeEngines, engine))
                        .thenComparing(Upstream::id))
                .orElseThrow();
    }

    /** Returns the engine to change to prefill next, in the reverse order of {@link #nextDecodeEngine}. */
    private static Upstream nextPrefillEngine(List<Upstream> decodeEngines) {
        return decodeEngines.stream()
                .max(Comparator.<Upstream, Boolean>comparing(
                                engine -> engine.entry().reclaimable())
                        .thenComparing(engine -> countInDomainOf(decodeEngines, engine))
                        .thenComparing(Upstream::id))
                .orElseThrow();
    }

    private static long countInDomainOf(List<Upstream> engines, Upstream engineInDomain) {
        return engines.stream()
                .filter(engine ->
                        engine.entry().domain().equals(engineInDomain.entry().domain()))
                .count();
    }

    private static EngineStage stage(Upstream engine, Map<UpstreamId, EngineStage> pendingStages) {
        return pendingStages.getOrDefault(engine.id(), engine.entry().stage());
    }
}
