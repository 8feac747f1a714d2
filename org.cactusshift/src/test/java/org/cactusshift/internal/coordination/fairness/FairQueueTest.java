package org.cactusshift.internal.coordination.fairness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.cactusshift.id.AccountId;
import org.junit.jupiter.api.Test;

class FairQueueTest {
    private static final AccountId LARGE = AccountId.fromString("large");
    private static final AccountId SMALL = AccountId.fromString("small");
    private static final double LARGEST_COST = 1_000;

    @Property(tries = 200, seed = "20261203")
    void servedWorkPerWeightDiffersByAtMostOneRequestPerAccount(
            @ForAll long seed,
            @ForAll @DoubleRange(min = 0.5, max = 5) double weight,
            @ForAll @IntRange(min = 1, max = 150) int served) {
        Random random = new Random(seed);
        FairQueue<String> queue = FairQueue.create();
        Map<String, Double> costs = new HashMap<>();
        queue.setWeight(LARGE, weight);
        queue.setWeight(SMALL, 1);
        for (int i = 0; i < 200; i++) {
            add(queue, costs, LARGE, "l" + i, 1 + random.nextInt((int) LARGEST_COST));
            add(queue, costs, SMALL, "s" + i, 1 + random.nextInt((int) LARGEST_COST));
        }
        double large = 0;
        double small = 0;
        for (int i = 0; i < served; i++) {
            String item = queue.heads(1).get(0);
            boolean isLarge = item.startsWith("l");
            queue.dequeue(isLarge ? LARGE : SMALL, item);
            large += isLarge ? costs.get(item) : 0;
            small += isLarge ? 0 : costs.get(item);
        }
        double difference = Math.abs(large / weight - small);
        assertTrue(
                difference <= LARGEST_COST / weight + LARGEST_COST,
                "served cost per weight differs by more than one largest request of each account: " + difference);
    }

    private static void add(
            FairQueue<String> queue, Map<String, Double> costs, AccountId account, String item, double cost) {
        queue.add(account, item, cost, 0);
        costs.put(item, cost);
    }

    @Test
    void workServedAtOtherNodesIsCharged() {
        FairQueue<String> queue = FairQueue.create();
        queue.charge(LARGE, 5_000);
        for (int i = 0; i < 10; i++) {
            queue.add(LARGE, "l" + i, 1_000, 0);
            queue.add(SMALL, "s" + i, 1_000, 0);
        }
        for (int i = 0; i < 5; i++) {
            String item = queue.heads(1).get(0);
            assertTrue(item.startsWith("s"), item);
            queue.dequeue(SMALL, item);
        }
    }

    @Test
    void servesAHeavilyChargedAccountWhenNoOtherWaits() {
        FairQueue<String> queue = FairQueue.create();
        queue.charge(LARGE, 1_000_000);
        queue.add(LARGE, "l", 1, 0);
        assertEquals(List.of("l"), queue.heads(4));
    }

    @Test
    void idleAccountsEarnNoCredit() {
        FairQueue<String> queue = FairQueue.create();
        for (int i = 0; i < 20; i++) {
            queue.add(LARGE, "l" + i, 1_000, i);
        }
        for (int i = 0; i < 10; i++) {
            queue.dequeue(LARGE, queue.heads(1).get(0));
        }
        for (int i = 0; i < 10; i++) {
            queue.add(SMALL, "s" + i, 1_000, i);
        }
        int small = 0;
        for (int i = 0; i < 6; i++) {
            String item = queue.heads(1).get(0);
            queue.dequeue(item.startsWith("s") ? SMALL : LARGE, item);
            small += item.startsWith("s") ? 1 : 0;
        }
        // Half of the requests at equal weights, and at most one more.
        assertTrue(small <= 4, small + " of 6 to the account that was idle");
    }

    @Test
    void requestWithTheEarliestLatestStartIsServedAndExpiresFirst() {
        FairQueue<String> queue = FairQueue.create();
        queue.add(LARGE, "later", 10, 500);
        queue.add(LARGE, "sooner", 10, 100);
        assertEquals(List.of("sooner"), queue.heads(1));
        assertEquals(List.of("sooner"), queue.removeExpired(200));
        assertEquals(1, queue.size());
        assertEquals(10, queue.queuedTokens());
    }

    @Test
    void lastRequestOfTheLargestBacklogIsTheDisplacementCandidate() {
        FairQueue<String> queue = FairQueue.create();
        for (int i = 0; i < 5; i++) {
            queue.add(LARGE, "l" + i, 100, i);
        }
        assertEquals("l4", queue.displacementCandidate(SMALL).orElseThrow());
        assertTrue(queue.displacementCandidate(LARGE).isEmpty());
    }
}
