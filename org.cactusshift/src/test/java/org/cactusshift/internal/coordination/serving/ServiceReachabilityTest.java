package org.cactusshift.internal.coordination.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.UpstreamId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ServiceReachabilityTest {
    private static final ServiceId SERVICE = ServiceId.fromString("s");
    private static final ServiceId OTHER_SERVICE = ServiceId.fromString("t");

    /** The numbers of the upstreams u0, u1 and so on that are listed. */
    private int listed;

    private final ServiceReachability reachability = ServiceReachability.create(service -> IntStream.range(0, listed)
            .mapToObj(i -> UpstreamId.fromString("u" + i))
            .collect(Collectors.toSet()));

    private boolean fail(String upstream, int listedCount) {
        listed = listedCount;
        return reachability.onConnectFailed(SERVICE, UpstreamId.fromString(upstream), 1_000);
    }

    @ParameterizedTest
    @CsvSource({"1, 1", "3, 3", "4, 4", "12, 4", "12000, 4"})
    void serviceIsUnreachableAfterFailuresAtSeveralUpstreams(int listedCount, int failures) {
        for (int i = 1; i < failures; i++) {
            assertFalse(fail("u" + i, listedCount));
            assertFalse(reachability.isUnreachable(SERVICE));
        }
        assertTrue(fail("u0", listedCount));
        assertTrue(reachability.isUnreachable(SERVICE));
        assertFalse(reachability.isUnreachable(OTHER_SERVICE));
        assertEquals(1, reachability.unreachableServices().size());
    }

    @Test
    void failuresAtOneUpstreamDoNotMakeTheServiceUnreachable() {
        for (int i = 0; i < 20; i++) {
            fail("u", 12);
        }
        assertFalse(reachability.isUnreachable(SERVICE));
    }

    @Test
    void openedConnectionEndsTheFailures() {
        fail("u0", 4);
        fail("u1", 4);
        fail("u2", 4);
        assertFalse(reachability.onConnected(SERVICE));
        fail("u3", 4);
        assertFalse(reachability.isUnreachable(SERVICE));
        fail("u0", 4);
        fail("u1", 4);
        fail("u2", 4);
        assertTrue(reachability.isUnreachable(SERVICE));
        assertTrue(reachability.onConnected(SERVICE));
        assertFalse(reachability.isUnreachable(SERVICE));
    }

    @Test
    void newUpstreamOfASmallServiceIsTried() {
        fail("u0", 1);
        assertTrue(reachability.isUnreachable(SERVICE));
        listed = 2;
        assertFalse(reachability.isUnreachable(SERVICE));
        fail("u1", 2);
        assertTrue(reachability.isUnreachable(SERVICE));
    }

    @Test
    void failuresThatAreFarApartDoNotAddUp() {
        listed = 12;
        for (int i = 0; i < 20; i++) {
            reachability.onConnectFailed(SERVICE, UpstreamId.fromString("u" + i), 1_001L * i);
            assertFalse(reachability.isUnreachable(SERVICE), "after " + i);
        }
    }

    @Test
    void moreUpstreamsAreCheckedOnceTwoHaveFailed() {
        fail("u1", 12);
        assertFalse(reachability.needsEvidence(SERVICE, UpstreamId.fromString("u3")));
        fail("u2", 12);
        assertTrue(reachability.needsEvidence(SERVICE, UpstreamId.fromString("u3")));
        assertFalse(reachability.needsEvidence(SERVICE, UpstreamId.fromString("u1")));
    }

    @Test
    void unreachableServiceIsProbedTwiceASecond() {
        fail("u0", 1);
        int probes = 0;
        for (long now = 1_000; now <= 11_000; now += 50) {
            probes += reachability.takeDueProbes(now).equals(Set.of(SERVICE)) ? 1 : 0;
        }
        assertEquals(20, probes);
        reachability.onConnected(SERVICE);
        assertEquals(Set.of(), reachability.takeDueProbes(20_000));
    }
}
