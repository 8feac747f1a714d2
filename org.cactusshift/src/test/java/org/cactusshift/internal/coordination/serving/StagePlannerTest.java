package org.cactusshift.internal.coordination.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.cactusshift.id.UpstreamId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StagePlannerTest {
    private final ServingFixture fixture = new ServingFixture();

    private void add(String id, EngineStage stage, boolean reclaimable) {
        UpstreamEntry like = ServingFixture.entry(id, ServingFixture.MODEL, ServingFixture.HERE, stage);
        fixture.directory.put(new UpstreamEntry(
                like.id(),
                like.service(),
                like.address(),
                like.domain(),
                like.slots(),
                false,
                stage,
                reclaimable,
                1,
                OptionalLong.empty()));
    }

    private List<StagePlanner.Change> plan(Map<UpstreamId, EngineStage> underWay) {
        return StagePlanner.plan(fixture.directory.acceptingWork(ServingFixture.MODEL), underWay);
    }

    @ParameterizedTest
    @CsvSource({"3, 5, 4", "0, 8, 4", "8, 0, 4", "1, 2, 2", "10, 10, 8"})
    void twoInFiveEnginesProduceOutputAfterTheChanges(int readers, int output, int wanted) {
        for (int i = 0; i < readers; i++) {
            add("r" + i, EngineStage.PREFILL, false);
        }
        for (int i = 0; i < output; i++) {
            add("o" + i, EngineStage.DECODE, false);
        }
        int after = output;
        for (StagePlanner.Change change : plan(Map.of())) {
            after += change.stage() == EngineStage.DECODE ? 1 : -1;
        }
        assertEquals(wanted, after);
    }

    @Test
    void outputGoesToEnginesThatLast() {
        add("lasting-1", EngineStage.PREFILL, false);
        add("lasting-2", EngineStage.PREFILL, false);
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
    void changesUnderWayAreNotOrderedAgain() {
        for (int i = 0; i < 8; i++) {
            add("e" + i, EngineStage.DECODE, false);
        }
        Map<UpstreamId, EngineStage> underWay = new HashMap<>();
        plan(Map.of()).forEach(change -> underWay.put(change.engine().id(), change.stage()));
        assertTrue(plan(underWay).isEmpty());
    }

    @Test
    void enginesWithoutStagesAreLeftAlone() {
        for (int i = 0; i < 4; i++) {
            add("e" + i, EngineStage.ANY, false);
        }
        assertTrue(plan(Map.of()).isEmpty());
    }

    /** Load pattern: engines come and go every few seconds, and each change of stage takes one out of service. */
    @ParameterizedTest
    @CsvSource({"10, 6", "7, 5", "4, 4", "6, 3", "11, 5"})
    void aboutTheRightPartIsLeftAsItIs(int readers, int output) {
        for (int i = 0; i < readers; i++) {
            add("r" + i, EngineStage.PREFILL, true);
        }
        for (int i = 0; i < output; i++) {
            add("o" + i, EngineStage.DECODE, true);
        }
        assertEquals(List.of(), plan(Map.of()));
    }
}
