package org.cactusshift.internal.coordination.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.SoftwareVersion;
import org.cactusshift.internal.coordination.store.StorePosition;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class StreamVersionPlannerTest {
    private static final ServiceId SERVICE = ServiceId.fromString("lm");
    private static final SoftwareVersion OLD = SoftwareVersion.fromString("v1");
    private static final SoftwareVersion NEW = SoftwareVersion.fromString("v2");
    private static final Map<ServiceId, Set<SoftwareVersion>> ONLY_NEW = Map.of(SERVICE, Set.of(NEW));

    private final StreamVersionPlanner planner = StreamVersionPlanner.create();

    private static StreamVersions record(Map<SoftwareVersion, StreamVersions.Use> uses) {
        return new StreamVersions(Map.of(SERVICE, uses));
    }

    private static StorePosition at(long revision) {
        return new StorePosition(1, revision);
    }

    @Test
    void noStreamBeginsAtAVersionBeforeItIsRecorded() {
        StreamVersions next = planner.next(ONLY_NEW, false, 0).orElseThrow();
        assertFalse(planner.recorded().mayBegin(SERVICE, NEW));
        planner.onRecorded(next, at(7));
        assertTrue(planner.recorded().mayBegin(SERVICE, NEW));
        assertEquals(Optional.of(NEW), planner.recorded().sole(SERVICE));
        assertEquals(Optional.empty(), planner.next(ONLY_NEW, false, 0));
    }

    @Test
    void olderRecordIsIgnored() {
        planner.onRecorded(record(Map.of(NEW, StreamVersions.Use.SERVING)), at(8));
        planner.onRecorded(record(Map.of(OLD, StreamVersions.Use.SERVING)), at(7));
        assertEquals(at(8), planner.position());
        assertEquals(Optional.of(NEW), planner.recorded().sole(SERVICE));
    }

    /** A version is removed in two steps, by the node that retires only, and counts as possible until the second. */
    @ParameterizedTest
    @CsvSource({"true, 10000, 60000, true", "true, 10000, 59999, false", "false, 10000, 60000, false"})
    void versionWithoutUpstreamsIsRetiredAndRemovedLater(
            boolean retires, long unlistedMillis, long retiredMillis, boolean removed) {
        planner.onRecorded(record(Map.of(OLD, StreamVersions.Use.SERVING, NEW, StreamVersions.Use.SERVING)), at(1));
        assertEquals(Optional.empty(), planner.next(ONLY_NEW, retires, 0));
        assertEquals(Optional.empty(), planner.next(ONLY_NEW, retires, unlistedMillis));
        long retiredAtMillis = unlistedMillis + 1;
        Optional<StreamVersions> retired = planner.next(ONLY_NEW, retires, retiredAtMillis);
        assertEquals(retires, retired.isPresent());
        retired.ifPresent(next -> {
            assertFalse(next.mayBegin(SERVICE, OLD));
            assertEquals(Optional.empty(), next.sole(SERVICE));
            planner.onRecorded(next, at(2));
        });
        assertEquals(Optional.empty(), planner.next(ONLY_NEW, retires, retiredAtMillis));
        Optional<StreamVersions> last = planner.next(ONLY_NEW, retires, retiredAtMillis + retiredMillis + 1);
        assertEquals(removed, last.flatMap(next -> next.sole(SERVICE)).isPresent());
    }

    @Test
    void retiredVersionThatAnUpstreamHasAgainServes() {
        planner.onRecorded(record(Map.of(OLD, StreamVersions.Use.RETIRED, NEW, StreamVersions.Use.SERVING)), at(1));
        StreamVersions next =
                planner.next(Map.of(SERVICE, Set.of(OLD, NEW)), false, 0).orElseThrow();
        assertTrue(next.mayBegin(SERVICE, OLD));
    }

    @Test
    void versionsOfAServiceWithoutUpstreamsAreKept() {
        planner.onRecorded(record(Map.of(OLD, StreamVersions.Use.SERVING)), at(1));
        planner.next(Map.of(), true, 0);
        assertEquals(Optional.empty(), planner.next(Map.of(), true, 1_000_000));
    }

    /**
     * Guards against streams that are joined from two versions: the restored store shows the record before the second
     * version, under a lower revision, or none at all.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void versionThatTheRestoredStoreLacksIsRecordedAgain(boolean copyHasRecord) {
        planner.onRecorded(record(Map.of(OLD, StreamVersions.Use.SERVING, NEW, StreamVersions.Use.SERVING)), at(8));
        StreamVersions copy = copyHasRecord ? record(Map.of(OLD, StreamVersions.Use.SERVING)) : StreamVersions.NONE;
        if (copyHasRecord) {
            planner.onRecorded(copy, new StorePosition(2, 5));
        } else {
            planner.onAbsent(2);
        }
        assertFalse(planner.recorded().mayBegin(SERVICE, NEW), "begins before it is recorded again");
        assertEquals(Optional.empty(), planner.withCarried(copy).sole(SERVICE));
        StreamVersions next = planner.next(Map.of(), false, 0).orElseThrow();
        planner.onRecorded(next, new StorePosition(2, 6));
        assertTrue(planner.recorded().mayBegin(SERVICE, NEW));
        assertTrue(planner.recorded().mayBegin(SERVICE, OLD));
        assertEquals(Optional.empty(), planner.next(Map.of(), false, 0));
    }

    /** Guards against a record of the former era, as a late answer shows it, in place of the present one. */
    @Test
    void recordOfAnEarlierEraIsIgnored() {
        planner.onRecorded(record(Map.of(NEW, StreamVersions.Use.SERVING)), new StorePosition(2, 5));
        planner.onRecorded(record(Map.of(OLD, StreamVersions.Use.SERVING)), at(9));
        assertEquals(Optional.of(NEW), planner.recorded().sole(SERVICE));
    }
}
