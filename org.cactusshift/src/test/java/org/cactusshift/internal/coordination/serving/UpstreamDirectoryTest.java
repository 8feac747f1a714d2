package org.cactusshift.internal.coordination.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.cactusshift.id.SoftwareVersion;
import org.cactusshift.id.UpstreamId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class UpstreamDirectoryTest {
    private static final UpstreamId ID = UpstreamId.fromString("a");
    private final UpstreamDirectory directory = UpstreamDirectory.create(service -> 1, 1_000);

    private static UpstreamEntry entry(boolean leaving, long startedAt, String address) {
        return new UpstreamEntry(
                ID,
                ServingFixture.PLAIN,
                address,
                ServingFixture.LOCAL_DOMAIN,
                6,
                leaving,
                EngineStage.ANY,
                false,
                SoftwareVersion.UNSTATED,
                startedAt,
                OptionalLong.empty());
    }

    private int acceptingCount() {
        return directory.acceptingWork(ServingFixture.PLAIN).size();
    }

    @Test
    void leavingUpstreamStaysLeavingWithinItsIncarnation() {
        directory.put(entry(true, 1, "x:1"));
        directory.put(entry(false, 1, "x:1"));
        assertEquals(0, acceptingCount());
    }

    @ParameterizedTest
    @CsvSource({"2, x:1", "1, x:2"})
    void newIncarnationUnderTheSameIdIsANewUpstream(long startedAt, String address) {
        directory.put(entry(true, 1, "x:1"));
        Upstream before = directory.find(ID).orElseThrow();
        assertTrue(directory.put(entry(false, startedAt, address)).isPresent());
        assertNotSame(before, directory.find(ID).orElseThrow());
        assertEquals(1, acceptingCount());
    }

    @Test
    void sameIncarnationKeepsItsState() {
        directory.put(entry(false, 1, "x:1"));
        Upstream before = directory.find(ID).orElseThrow();
        assertTrue(directory.put(entry(false, 1, "x:1")).isEmpty());
        assertSame(before, directory.find(ID).orElseThrow());
    }

    @Test
    void removalTakesEffectImmediately() {
        directory.put(entry(false, 1, "x:1"));
        directory.remove(ID, false, 0);
        assertEquals(0, acceptingCount());
    }

    @Test
    void entryThatExpiredWhileTheStoreWasUnavailableHasAGracePeriod() {
        directory.put(entry(false, 1, "x:1"));
        directory.replaceAll(List.of(), true, 0);
        directory.expire(999);
        assertEquals(1, acceptingCount());
        directory.expire(1_000);
        assertEquals(0, acceptingCount());
    }

    @Test
    void entryThatReturnsWithinTheGracePeriodStays() {
        directory.put(entry(false, 1, "x:1"));
        directory.remove(ID, true, 0);
        directory.put(entry(false, 1, "x:1"));
        directory.expire(5_000);
        assertEquals(1, acceptingCount());
    }

    /** Guards against requests to an upstream that has left, as the restored store lists it again. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void upstreamThatWasLeavingStaysSoWhenTheRestoredStoreListsItAgain(boolean leftByItsAnswer) {
        directory.put(entry(!leftByItsAnswer, 1, "x:1"));
        directory.find(ID).orElseThrow().markLeaving();
        directory.remove(ID, false, 0);
        directory.replaceAllAfterRestore(List.of(entry(false, 1, "x:1")), 100);
        directory.expire(20_000);
        assertEquals(0, acceptingCount());
    }

    /** An upstream whose entry was removed by mistake goes on writing it, so that it outlasts a silent one's. */
    @ParameterizedTest
    @CsvSource({"false, 4999, 0", "false, 5000, 1", "true, 5000, 0"})
    void entryThatWasRemovedBeforeTheRestoreIsHeldBack(boolean removedAgain, long afterMillis, int accepting) {
        directory.put(entry(false, 1, "x:1"));
        directory.remove(ID, false, 0);
        directory.replaceAllAfterRestore(List.of(entry(false, 1, "x:1")), 100);
        directory.put(entry(false, 1, "x:1"));
        if (removedAgain) {
            directory.remove(ID, true, 200);
        }
        directory.expire(100 + afterMillis);
        assertEquals(accepting, acceptingCount());
    }

    /** Guards against an upstream that is listed by its old entry which a later list lacks. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void heldEntryThatALaterListLacksIsNotListed(boolean restoredAgain) {
        directory.put(entry(false, 1, "x:1"));
        directory.remove(ID, false, 0);
        directory.replaceAllAfterRestore(List.of(entry(false, 1, "x:1")), 100);
        if (restoredAgain) {
            directory.replaceAllAfterRestore(List.of(), 200);
        } else {
            directory.replaceAll(List.of(), false, 200);
        }
        directory.expire(20_000);
        assertEquals(0, acceptingCount());
    }

    /** The rows: the start and the address of an upstream that was started anew under the id of one that has left. */
    @ParameterizedTest
    @CsvSource({"2, x:1", "1, x:2"})
    void newIncarnationIsListedAtOnceAfterARestore(long startedAt, String address) {
        directory.put(entry(true, 1, "x:1"));
        directory.remove(ID, false, 0);
        directory.replaceAllAfterRestore(List.of(entry(false, startedAt, address)), 100);
        assertEquals(1, acceptingCount());
    }

    @Test
    void remoteWorkIsReplacedCompletely() {
        directory.put(entry(false, 1, "x:1"));
        directory.setRemoteWork(Map.of(ID, new OpenWork(3, 70, 90)));
        assertEquals(70, directory.find(ID).orElseThrow().totalPendingPrefillTokens());
        directory.setRemoteWork(Map.of());
        assertEquals(0, directory.find(ID).orElseThrow().totalPendingPrefillTokens());
    }
}
