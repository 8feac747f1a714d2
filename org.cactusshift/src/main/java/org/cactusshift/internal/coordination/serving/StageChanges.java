package org.cactusshift.internal.coordination.serving;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cactusshift.internal.coordination.limits.UpstreamIncarnation;

/**
 * The changes of stage that are announced to all nodes before they are ordered: an engine refuses requests while its
 * stage changes, and every node that does not know of the change spends its retries on it. Immutable.
 *
 * @param stageByEngine the new stages by engine
 */
public record StageChanges(Map<UpstreamIncarnation, EngineStage> stageByEngine) {
    /** No changes. */
    public static final StageChanges NONE = new StageChanges(Map.of());

    /** Copies the map. */
    public StageChanges {
        stageByEngine = Map.copyOf(stageByEngine);
    }

    /**
     * Returns the new stage of an engine whose change is not complete.
     *
     * @param engine the engine
     * @return the announced stage, empty when none is announced or the engine has it
     */
    public Optional<EngineStage> pendingStage(Upstream engine) {
        return Optional.ofNullable(stageByEngine.get(engine.incarnation()))
                .filter(stage -> stage != engine.entry().stage());
    }

    /**
     * Returns these changes without those that are complete or whose engine is gone.
     *
     * @param directory the listed engines
     * @return the remaining changes
     */
    public StageChanges pending(UpstreamDirectory directory) {
        Map<UpstreamIncarnation, EngineStage> pending = new HashMap<>();
        stageByEngine.forEach((incarnation, stage) -> directory
                .find(incarnation.upstream())
                .flatMap(this::pendingStage)
                .ifPresent(newStage -> pending.put(incarnation, newStage)));
        return new StageChanges(pending);
    }

    /**
     * Returns these changes without those of some engines.
     *
     * @param engines the engines
     * @return the remaining changes
     */
    public StageChanges without(Set<UpstreamIncarnation> engines) {
        Map<UpstreamIncarnation, EngineStage> remaining = new HashMap<>(stageByEngine);
        remaining.keySet().removeAll(engines);
        return new StageChanges(remaining);
    }

    /**
     * Returns these changes and others.
     *
     * @param changes the changes to add
     * @return all changes
     */
    public StageChanges plus(Iterable<StagePlanner.Change> changes) {
        Map<UpstreamIncarnation, EngineStage> all = new HashMap<>(stageByEngine);
        changes.forEach(change -> all.put(change.engine().incarnation(), change.stage()));
        return new StageChanges(all);
    }
}
