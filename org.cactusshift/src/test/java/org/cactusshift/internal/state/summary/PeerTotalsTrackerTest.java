package org.cactusshift.internal.state.summary;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.ServiceId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PeerTotalsTrackerTest {
    private static final AccountServicePair PAIR =
            new AccountServicePair(ServiceId.fromString("share-lm"), AccountId.fromString("clerks"));
    private static final IncarnationId A = IncarnationId.fromString("a-1");
    private static final IncarnationId B = IncarnationId.fromString("b-1");

    private final PeerTotalsTracker tracker = PeerTotalsTracker.create();

    @Test
    void countsTokensOnceWhenHeartbeatsAreRepeatedOrReordered() {
        // Expected are the increments of the tokens, and the requests in flight as reported last.
        assertEquals(new ServedTotals(100, 10, 2), tracker.recordTotals(A, PAIR, new ServedTotals(100, 10, 2)));
        assertEquals(new ServedTotals(0, 0, 2), tracker.recordTotals(A, PAIR, new ServedTotals(100, 10, 2)));
        assertEquals(new ServedTotals(50, 5, 1), tracker.recordTotals(A, PAIR, new ServedTotals(150, 15, 1)));
        assertEquals(new ServedTotals(0, 0, 2), tracker.recordTotals(A, PAIR, new ServedTotals(100, 10, 2)));
        assertEquals(new ServedTotals(10, 0, 2), tracker.recordTotals(A, PAIR, new ServedTotals(160, 15, 2)));
    }

    @Test
    void sumsRequestsInFlightOverPeersAndDropsThoseOfARemovedPeer() {
        tracker.recordTotals(A, PAIR, new ServedTotals(0, 0, 3));
        assertEquals(7, tracker.recordTotals(B, PAIR, new ServedTotals(0, 0, 4)).requestsInFlight());

        assertEquals(Map.of(PAIR, 4), tracker.removePeer(A));
        assertEquals(Map.of(), tracker.removePeer(A));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void incrementsSumToTheLastTotalInAnyOrder(long seed) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        long prefill = 0;
        long incrementSum = 0;
        long[] history = new long[200];
        for (int i = 0; i < history.length; i++) {
            prefill += random.nextInt(50);
            history[i] = prefill;
            int deliveredIndex = Math.max(0, i - random.nextInt(5));
            incrementSum += tracker.recordTotals(A, PAIR, new ServedTotals(history[deliveredIndex], 0, 0))
                    .prefillTokens();
        }
        incrementSum +=
                tracker.recordTotals(A, PAIR, new ServedTotals(prefill, 0, 0)).prefillTokens();

        assertEquals(prefill, incrementSum);
    }

    @Test
    void selectorReturnsChangedTotalsAndPeriodicallyAll() {
        // Every third heartbeat, from the first on, carries all totals.
        HeartbeatTotalsSelector selector = HeartbeatTotalsSelector.create(3);
        AccountServicePair other = new AccountServicePair(PAIR.service(), AccountId.fromString("crew"));
        Map<AccountServicePair, ServedTotals> start =
                Map.of(PAIR, new ServedTotals(1, 0, 0), other, new ServedTotals(2, 0, 0));
        Map<AccountServicePair, ServedTotals> later =
                Map.of(PAIR, new ServedTotals(5, 0, 0), other, new ServedTotals(2, 0, 0));

        List<Integer> sizes = List.of(
                selector.selectForNextHeartbeat(start).size(),
                selector.selectForNextHeartbeat(later).size(),
                selector.selectForNextHeartbeat(later).size(),
                selector.selectForNextHeartbeat(later).size());

        assertEquals(List.of(2, 1, 0, 2), sizes);
    }
}
