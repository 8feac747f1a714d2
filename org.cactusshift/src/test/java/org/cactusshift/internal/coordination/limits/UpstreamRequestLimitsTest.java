package org.cactusshift.internal.coordination.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.UpstreamId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class UpstreamRequestLimitsTest {
    /** How long after a limit is stated first all nodes must keep to it. */
    private static final long CONTACT_MILLIS = 3_000;

    private static final UpstreamIncarnation UPSTREAM = new UpstreamIncarnation(UpstreamId.fromString("i-1"), 1);
    private static final OptionalDouble FIVE = OptionalDouble.of(5);
    private static final OptionalDouble NONE = OptionalDouble.empty();

    private final UpstreamRequestLimits limits =
            UpstreamRequestLimits.create(InstanceId.fromString("n"), id -> Optional.empty());

    private static int allowed(double limitPerSecond) {
        return (int) Math.floor(1.5 * limitPerSecond * LimitedSite.WINDOW_MILLIS / 1_000 + 5);
    }

    private static void assertKept(LimitedSite site, double limitPerSecond, long fromMillis) {
        int most = site.mostInAWindow(fromMillis);
        assertTrue(most <= allowed(limitPerSecond), most + " requests in a window, " + allowed(limitPerSecond));
    }

    /** Guards against an equal part for each node, which the first requests of all nodes exceed. */
    @ParameterizedTest
    @CsvSource({"2, 5", "8, 0", "8, 0.5", "8, 4.7", "8, 20", "60, 1", "60, 5", "60, 40", "1800, 5"})
    void requestsOfAllNodesTogetherKeepWithinALimitAndUseIt(int nodeCount, double limit) {
        LimitedSite site = new LimitedSite(nodeCount, 1);
        site.run(1_000);
        site.stateLimit(OptionalDouble.of(limit));
        long statedAtMillis = site.nowMillis();
        site.run(CONTACT_MILLIS + 8_000);
        assertKept(site, limit, statedAtMillis + CONTACT_MILLIS);
        assertTrue(
                site.arrivalsSince(statedAtMillis + CONTACT_MILLIS) >= 0.5 * limit * 8 - 2,
                site.arrivalsSince(statedAtMillis + CONTACT_MILLIS) + " requests in 8 s");
    }

    /** What a part of the nodes does while the limit holds. */
    private enum Disturbance {
        NONE,
        PARTITIONED,
        ONE_STARTED,
        MANY_RESTARTED_ONE_AFTER_ANOTHER,
        MANY_PAUSED
    }

    @ParameterizedTest
    @CsvSource({
        "60, PARTITIONED",
        "1800, PARTITIONED",
        "8, ONE_STARTED",
        "60, ONE_STARTED",
        "60, MANY_RESTARTED_ONE_AFTER_ANOTHER",
        "8, MANY_PAUSED",
        "60, MANY_PAUSED"
    })
    void limitIsKeptWhenNodesDoNotAgree(int nodeCount, Disturbance disturbance) {
        LimitedSite site = new LimitedSite(nodeCount, 2);
        site.run(1_000);
        if (disturbance == Disturbance.MANY_PAUSED) {
            site.nodes().subList(0, nodeCount / 2).forEach(node -> node.isPaused = true);
        }
        site.stateLimit(FIVE);
        long statedAtMillis = site.nowMillis();
        site.run(CONTACT_MILLIS);
        switch (disturbance) {
            case PARTITIONED:
                site.partition();
                break;
            case ONE_STARTED:
                site.addNode();
                break;
            case MANY_RESTARTED_ONE_AFTER_ANOTHER:
                for (LimitedSite.Node node : site.nodes().subList(0, nodeCount / 2)) {
                    node.restart();
                    site.run(500);
                }
                break;
            case MANY_PAUSED:
                site.nodes().forEach(node -> node.isPaused = false);
                break;
            default:
                throw new IllegalArgumentException(disturbance.name());
        }
        // Longer than a node is remembered that is not known any more.
        site.run(15_000);
        assertKept(site, 5, statedAtMillis + CONTACT_MILLIS);
    }

    /** Guards against an upstream that no node may send to because its senders have lost their links. */
    @ParameterizedTest
    @CsvSource({"2, 1, 5", "4, 3, 5", "8, 7, 0.5", "8, 6, 20", "60, 30, 5", "60, 56, 5", "60, 30, 40"})
    void nodesWithLinksUseALimitInPlaceOfThoseWithout(int nodeCount, int lostCount, double limit) {
        LimitedSite site = new LimitedSite(nodeCount, 6);
        site.stateLimit(OptionalDouble.of(limit));
        site.run(CONTACT_MILLIS);
        site.loseLinks(lostCount);
        site.run(10_000);
        long usableFromMillis = site.nowMillis();
        site.run(10_000);
        assertTrue(
                site.arrivalsSince(usableFromMillis) >= 0.5 * limit * 10 - 2,
                site.arrivalsSince(usableFromMillis) + " requests in 10 s");
    }

    @ParameterizedTest
    @CsvSource({"2, 1, 5", "4, 3, 5", "8, 6, 20", "60, 30, 5", "60, 56, 40", "1800, 82, 5", "1800, 900, 5"})
    void limitIsKeptWhileNodesLoseTheirLinksAndWhenTheyHaveThemBack(int nodeCount, int lostCount, double limit) {
        LimitedSite site = new LimitedSite(nodeCount, 7);
        site.stateLimit(OptionalDouble.of(limit));
        site.run(CONTACT_MILLIS);
        long fromMillis = site.nowMillis();
        for (int i = 0; i < 3; i++) {
            site.loseLinks(lostCount);
            site.run(4_000);
            site.nodes().forEach(node -> node.hasLostLinks = false);
            site.run(2_000 + 3_000 * i);
        }
        assertKept(site, limit, fromMillis);
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 60})
    void limitEndsAtAllNodesWhenTheUpstreamStatesItNoMore(int nodeCount) {
        LimitedSite site = new LimitedSite(nodeCount, 3);
        site.stateLimit(FIVE);
        site.run(CONTACT_MILLIS);
        site.stateLimit(NONE);
        site.run(CONTACT_MILLIS);
        assertTrue(site.nodes().stream().noneMatch(node -> node.limits.isLimited(UPSTREAM)));
        assertTrue(site.nodes().stream().allMatch(LimitedSite.Node::mayRequest));
    }

    @Test
    void limitEndsAlthoughTheSendersHaveNoRequests() {
        LimitedSite site = new LimitedSite(8, 4);
        site.stateLimit(FIVE);
        site.run(CONTACT_MILLIS);
        site.nodes()
                .forEach(node -> node.hasRequests =
                        node.limits.earliestSendMillis(UPSTREAM, site.nowMillis()) == UpstreamRequestLimits.NEVER);
        long silentSinceMillis = site.nowMillis();
        site.run(30_000);
        assertKept(site, 5, silentSinceMillis);
        site.stateLimit(NONE);
        site.run(30_000);
        assertTrue(site.nodes().stream().noneMatch(node -> node.limits.isLimited(UPSTREAM)));
    }

    @Test
    void limitDoesNotHoldForAnUpstreamThatWasStartedAgain() {
        LimitedSite site = new LimitedSite(8, 5);
        site.stateLimit(FIVE);
        site.run(CONTACT_MILLIS);
        site.restartUpstream();
        assertTrue(site.nodes().stream().allMatch(LimitedSite.Node::mayRequest));
    }

    @Test
    void responseToARequestFromBeforeTheLimitDoesNotEndIt() {
        limits.onResponse(UPSTREAM, FIVE, 10, 20);
        assertEquals(UpstreamRequestLimits.Change.NONE, limits.onResponse(UPSTREAM, NONE, 19, 30));
        assertTrue(limits.isLimited(UPSTREAM));
        assertEquals(UpstreamRequestLimits.Change.ENDED, limits.onResponse(UPSTREAM, NONE, 25, 40));
        assertFalse(limits.isLimited(UPSTREAM));
    }

    @Test
    void olderReportDoesNotRestoreALimitThatHasEnded() {
        limits.onResponse(UPSTREAM, FIVE, 10, 20);
        limits.onResponse(UPSTREAM, NONE, 25, 40);
        limits.onReport(new UpstreamLimitReport(UPSTREAM, 1, FIVE, 5), 50);
        assertFalse(limits.isLimited(UPSTREAM));
        limits.onReport(new UpstreamLimitReport(UPSTREAM, 3, FIVE, 5), 60);
        assertTrue(limits.isLimited(UPSTREAM));
    }

    /** Two nodes notice a change at the same time, and give it the same revision. */
    @Test
    void ofTwoChangesOfOneRevisionTheStricterHolds() {
        limits.onReport(new UpstreamLimitReport(UPSTREAM, 1, OptionalDouble.of(0.1), 0), 50);
        limits.onReport(new UpstreamLimitReport(UPSTREAM, 1, FIVE, 0), 60);
        limits.onReport(new UpstreamLimitReport(UPSTREAM, 1, NONE, 0), 70);
        assertEquals(OptionalDouble.of(0.1), limits.nextReports(80).get(0).requestsPerSecond());
    }

    @Test
    void changesAreReportedFirstAndMessagesStaySmall() {
        for (int i = 0; i < 100; i++) {
            limits.onResponse(new UpstreamIncarnation(UpstreamId.fromString("other-" + i), 1), FIVE, 10, 20);
        }
        limits.onResponse(UPSTREAM, FIVE, 59_000, 60_000);
        for (int message = 0; message < 3; message++) {
            List<UpstreamLimitReport> reports = limits.nextReports(60_000);
            assertEquals(3, reports.size());
            assertTrue(reports.stream().anyMatch(report -> report.upstream().equals(UPSTREAM)));
        }
        assertEquals(2, limits.nextReports(70_000).size());
    }

    @Test
    void limitOfAnUpstreamThatIsGoneIsForgotten() {
        limits.onResponse(UPSTREAM, FIVE, 10, 20);
        limits.expire(upstream -> false, 30);
        assertFalse(limits.isLimited(UPSTREAM));
    }
}
