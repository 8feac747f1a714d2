package org.cactusshift.internal.coordination.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.cactusshift.id.SoftwareVersion;
import org.cactusshift.id.UpstreamId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StagePlannerTest {
    private final ServingFixture fixture = new ServingFixture();

    private void add(String id, EngineStage stage, boolean reclaimable) {
        UpstreamEntry template = ServingFixture.entry(id, ServingFixture.MODEL, ServingFixture.LOCAL_DOMAIN, stage);
        fixture.directory.put(new UpstreamEntry(
                template.id(),
                template.service(),
                template.address(),
                template.domain(),
                template.slots(),
                false,
                stage,
                reclaimable,
                SoftwareVersion.UNSTATED,
                1,
                OptionalLong.empty()));
    }

    private List<StagePlanner.Change> plan(Map<UpstreamId, EngineStage> pendingStages) {
        return StagePlanner.plan(fixture.directory.acceptingWork(ServingFixture.MODEL), pendingStages);
    }

    @ParameterizedTest
    @CsvSource({"3, 5, 4", "0, 8, 4", "8, 0, 4", "1, 2, 2", "10, 10, 8"})
    void changesRestoreTheTargetNumberOfDecodeEngines(int prefillEngines, int decodeEngines, int wanted) {
        for (int i = 0; i < prefillEngines; i++) {
            add("prefill-" + i, EngineStage.PREFILL, false);
        }
        for (int i = 0; i < decodeEngines; i++) {
            add("decode-" + i, EngineStage.DECODE, false);
        }
        int after = decodeEngines;
        for (StagePlanner.Change change : plan(Map.of())) {
            after += change.stage() == EngineStage.DECODE ? 1 : -1;
        }
        assertEquals(wanted, after);
    }

    @Test
    void onDemandEnginesAreChosenForDecode() {
        add("on-demand-1", EngineStage.PREFILL, false);
        add("on-demand-2", EngineStage.PREFILL, false);
        add("reclaimable-1", EngineStage.PREFILL, true);
        add("reclaimable-2", EngineStage.PREFILL, true);
        add("reclaimable-3", EngineStage.PREFILL, true);
        List<StagePlanner.Change> changes = plan(Map.of());
        assertEquals(2, changes.size());
        for (StagePlanner.Change change : changes) {
            assertFalse(change.engine().entry().reclaimable());
            assertEquals(EngineStage.DECODE, change.stage());
        }
    }

    @Test
    void orderedChangesAreNotPlannedAgain() {
        for (int i = 0; i < 8; i++) {
            add("e" + i, EngineStage.DECODE, false);
        }
        Map<UpstreamId, EngineStage> pendingStages = new HashMap<>();
        plan(Map.of()).forEach(change -> pendingStages.put(change.engine().id(), change.stage()));
        assertTrue(plan(pendingStages).isEmpty());
    }

    @Test
    void enginesWithoutStagesAreNotChanged() {
        for (int i = 0; i < 4; i++) {
            add("e" + i, EngineStage.ANY, false);
        }
        assertTrue(plan(Map.of()).isEmpty());
    }

    /**
     * Scenario: engines join and leave every few seconds, and each change of stage takes an engine out of service. Four
     * of eight are tolerated, as the target is rounded up to them.
     */
    @ParameterizedTest
    @CsvSource({"10, 6", "7, 5", "4, 4", "6, 3", "11, 5"})
    void nothingChangesWhileTheDecodeFractionIsTolerated(int prefillEngines, int decodeEngines) {
        for (int i = 0; i < prefillEngines; i++) {
            add("prefill-" + i, EngineStage.PREFILL, true);
        }
        for (int i = 0; i < decodeEngines; i++) {
            add("decode-" + i, EngineStage.DECODE, true);
        }
        assertEquals(List.of(), plan(Map.of()));
    }
}
