package org.cactusshift.internal.coordination.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.InstanceId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class DomainReadersTest {
    private static FailureDomainId domain(int node, int domains) {
        return FailureDomainId.fromString("d" + node % domains);
    }

    private static List<PeerEndpoint> endpoints(int nodes, int domains) {
        List<PeerEndpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            endpoints.add(new PeerEndpoint(
                    InstanceId.fromString("n" + i), domain(i, domains), "127.0.0.1:" + i, new PeerToken("t")));
        }
        return endpoints;
    }

    /** Each failure domain has one reader, which all its nodes agree on, and few nodes that tell others. */
    @ParameterizedTest
    @CsvSource({"8, 4", "60, 3", "95, 6", "300, 6", "1800, 22"})
    void oneNodeOfEachDomainReads(int nodes, int domains) {
        List<PeerEndpoint> endpoints = endpoints(nodes, domains);
        int readers = 0;
        int telling = 0;
        Set<Integer> ranksOfFirstDomain = new HashSet<>();
        for (int i = 0; i < nodes; i++) {
            DomainReaders order = DomainReaders.of(InstanceId.fromString("n" + i), domain(i, domains), endpoints);
            readers += order.rank() == 0 ? 1 : 0;
            telling += order.tells() ? 1 : 0;
            if (i % domains == 0) {
                ranksOfFirstDomain.add(order.rank());
            }
            assertTrue(order.others().stream()
                    .noneMatch(other ->
                            !other.domain().equals(order.others().get(0).domain())));
        }
        assertEquals(domains, readers);
        assertEquals(Math.min(nodes, 4 * domains), telling);
        assertEquals((nodes + domains - 1) / domains, ranksOfFirstDomain.size());
    }

    @Test
    void nodeThatIsNotRegisteredComesLast() {
        DomainReaders order = DomainReaders.of(InstanceId.fromString("new"), domain(0, 1), endpoints(6, 1));
        assertEquals(6, order.rank());
        assertFalse(order.tells());
    }

    /** Every node reads before a change has to be seen, also if it never hears of a read; the reader reads first. */
    @ParameterizedTest
    @ValueSource(longs = {2_000, 3_000, 4_000, 11_000})
    void laterNodesReadLaterButInTime(long delayLimitMillis) {
        ReadPacing pacing = ReadPacing.of(delayLimitMillis);
        assertTrue(pacing.periodMillis(0) + 100 <= pacing.periodMillis(1));
        for (int rank = 0; rank < 100; rank++) {
            assertTrue(pacing.periodMillis(rank) <= pacing.periodMillis(rank + 1));
            assertTrue(pacing.periodMillis(rank) <= 0.4 * delayLimitMillis);
        }
    }
}
