package org.cactusshift.internal.coordination.performance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.limits.UpstreamIncarnation;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class UpstreamPerformanceTest {
    private final UpstreamPerformance performance = UpstreamPerformance.create();

    private void respond(int count, double relativeTime) {
        for (int i = 0; i < count; i++) {
            performance.onResponse(relativeTime, 0);
        }
    }

    /** Guards against an estimate that stays when there are no samples, so that its upstream is never used again. */
    @Test
    void logarithmHalvesInFiveSecondsAndIsGoneAfterFifteen() {
        respond(500, 4);
        double logarithm = Math.log(performance.estimate(0));
        assertTrue(performance.estimate(0) > 3.5);
        assertEquals(logarithm / 2, Math.log(performance.estimate(5_000)), 1e-9);
        assertEquals(1, performance.estimate(15_000));
        assertTrue(performance.uncertainty(5_000) > performance.uncertainty(0));
    }

    /** Guards against an old estimate that outweighs a new response. */
    @Test
    void responseAfterALongPauseCountsMoreThanOneOfMany() {
        respond(100, 4);
        performance.onResponse(1, 0);
        double ofMany = performance.estimate(0);
        performance.onResponse(1, 10_000);
        assertTrue(ofMany > 3);
        assertTrue(performance.estimate(10_000) < 1.4);
    }

    @ParameterizedTest
    @ValueSource(doubles = {0, -1, Double.NaN, Double.POSITIVE_INFINITY})
    void invalidSampleHasNoEffect(double relativeTime) {
        performance.onResponse(relativeTime, 0);
        performance.onPeerSamples(0, 1, 0);
        performance.onPeerSamples(1, Double.NaN, 0);
        assertEquals(1, performance.estimate(0));
        assertEquals(0, performance.samples());
    }

    /** Guards against a peer that reports a false sum or number and so outweighs the other nodes. */
    @Test
    void peerIsBoundedInValueAndWeight() {
        performance.onPeerSamples(Integer.MAX_VALUE, Double.MAX_VALUE, 0);
        assertTrue(performance.estimate(0) <= 4);
        for (int i = 0; i < 10; i++) {
            performance.onPeerSamples(16, 0, 0);
        }
        assertTrue(performance.estimate(0) < 1.2);
    }

    /** Guards against a log line with each sample of an upstream near the bound, and against a missing recovery. */
    @Test
    void slownessAndRecoveryAreToldOnce() {
        assertEquals(UpstreamPerformance.Change.NONE, performance.takeChange(0));
        respond(500, 2.2);
        assertEquals(UpstreamPerformance.Change.SLOW, performance.takeChange(0));
        respond(500, 1.8);
        assertEquals(UpstreamPerformance.Change.NONE, performance.takeChange(0));
        assertEquals(UpstreamPerformance.Change.RECOVERED, performance.takeChange(20_000));
        assertEquals(UpstreamPerformance.Change.NONE, performance.takeChange(20_000));
    }

    /** Guards against a statement that is used for longer than it holds, or that is out of range. */
    @ParameterizedTest
    @CsvSource({"250, 300, 2.5", "250, 301, 1", "9, 0, 1", "10001, 0, 1", "10000, 0, 4", "10, 0, 0.25"})
    void statementIsUsedWhileItHolds(int percent, long ageMillis, double expected) {
        performance.onStated(percent, 0);
        assertEquals(expected, performance.relativeTime(ageMillis));
        assertEquals(1, performance.estimate(ageMillis));
    }

    /** Guards against samples that reach a peer twice, and against messages that are too long. */
    @Test
    void sampleIsReportedForOneRoundAndReportsAreBounded() {
        PerformanceSamples samples = PerformanceSamples.create(250);
        for (int id = 0; id < 20; id++) {
            samples.add(new UpstreamIncarnation(UpstreamId.fromString("u" + id), 1), 2);
        }
        UpstreamIncarnation most = new UpstreamIncarnation(UpstreamId.fromString("u19"), 1);
        samples.add(most, 100);
        for (int tick = 0; tick < 3; tick++) {
            List<PerformanceReport> reports = samples.nextReports(3);
            assertEquals(8, reports.size());
            assertEquals(new PerformanceReport(most, 2, Math.log(8)), reports.get(0));
        }
        assertEquals(List.of(), samples.nextReports(3));
        for (int id = 0; id < 20; id++) {
            samples.add(new UpstreamIncarnation(UpstreamId.fromString("upstream-with-a-very-long-name-" + id), 1), 2);
        }
        assertEquals(4, samples.nextReports(1).size());
    }
}
