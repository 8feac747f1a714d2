package org.cactusshift.internal.coordination.usage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.AttemptId;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.SiteId;
import org.cactusshift.internal.coordination.lease.DutyHolder;
import org.cactusshift.internal.coordination.lease.DutyService;
import org.cactusshift.internal.coordination.lease.LeaseTiming;
import org.cactusshift.internal.coordination.store.InMemoryKeyValueStore;
import org.cactusshift.internal.coordination.store.StoreCallKind;
import org.cactusshift.internal.coordination.store.StoreFault;
import org.junit.jupiter.api.Test;

/**
 * Checks with eight nodes in one process that all usage is reported exactly once; also prints the load on the store.
 */
class UsageServiceTest {
    private static final SiteId SITE = SiteId.fromString("test-site");
    private static final LongSupplier CLOCK = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    private static final UsageShards SHARDS = new UsageShards(4);
    private static final int NODES = 8;
    private static final int ROUNDS = 100;
    private static final int ACCOUNTS = 8;
    private static final long WAIT_MILLIS = 60_000;

    private final InMemoryKeyValueStore store = InMemoryKeyValueStore.create(CLOCK);
    private final Map<StoreCallKind, LongAdder> calls = new EnumMap<>(StoreCallKind.class);
    private final Map<String, SealedWindow> reported = new ConcurrentHashMap<>();
    private final Map<IncarnationId, UsageService> services = new HashMap<>();
    private final List<DutyService> duties = new ArrayList<>();

    @Test
    void usageOfAllNodesIsBilledExactlyOnce() throws InterruptedException {
        for (StoreCallKind kind : StoreCallKind.values()) {
            calls.put(kind, new LongAdder());
        }
        store.setFaultInjector((kind, key) -> {
            calls.get(kind).increment();
            return StoreFault.NONE;
        });
        for (int i = 0; i < NODES; i++) {
            addNode(i);
        }
        duties.forEach(DutyService::start);
        services.values().forEach(UsageService::start);
        long startMillis = CLOCK.getAsLong();
        long recorded = record();
        await(() -> services.values().stream().allMatch(UsageService::isAllDurable));
        await(() -> billed() == recorded);
        double seconds = (CLOCK.getAsLong() - startMillis) / 1_000.0;
        System.out.printf(
                "%d nodes, %d shards, %.1f s: %d windows, calls a second: %.1f swaps, %.1f reads, %.1f renewals%n",
                NODES,
                SHARDS.count(),
                seconds,
                reported.size(),
                calls.get(StoreCallKind.SWAP).sum() / seconds,
                (calls.get(StoreCallKind.GET).sum()
                                + calls.get(StoreCallKind.LIST).sum())
                        / seconds,
                calls.get(StoreCallKind.LEASE_RENEWAL).sum() / seconds);
        services.values().forEach(UsageService::close);
        duties.forEach(DutyService::close);
        assertEquals(recorded, billed());
    }

    private void addNode(int number) {
        DutyHolder self = new DutyHolder(
                InstanceId.fromString("node-" + number),
                IncarnationId.fromString("start-" + number),
                "127.0.0.1:" + (number + 1),
                0);
        DutyService duty = DutyService.create(store, SITE, self, LeaseTiming.ofTtl(6_000), CLOCK);
        duty.setRequiredDuties(SHARDS.duties());
        duties.add(duty);
        UsageServiceDependencies dependencies = new UsageServiceDependencies(
                SITE,
                self,
                SHARDS,
                // The length of a window and the hand-over period, in milliseconds.
                5_000,
                1_000,
                store,
                duty,
                duty,
                (holder, batch) ->
                        Either.right(services.get(holder.incarnation()).acceptBatch(batch)),
                window -> {
                    reported.put(window.window(), window);
                    return Either.right(UsageReporter.Receipt.RECORDED);
                },
                CLOCK,
                System::currentTimeMillis);
        services.put(self.incarnation(), UsageService.create(dependencies));
    }

    private long record() throws InterruptedException {
        long recorded = 0;
        for (int round = 0; round < ROUNDS; round++) {
            for (UsageService service : services.values()) {
                AccountId account = AccountId.fromString("account-" + round % ACCOUNTS);
                UsageRecord usage = new UsageRecord(
                        account, ServiceId.fromString("share-lm"), AttemptId.fromString("a"), round, 1, 1);
                service.record(usage, System.currentTimeMillis());
                recorded += round;
            }
            Thread.sleep(100);
        }
        return recorded;
    }

    private long billed() {
        long tokens = 0;
        for (SealedWindow window : reported.values()) {
            tokens += tokensOf(window);
        }
        return tokens;
    }

    private static long tokensOf(SealedWindow window) {
        long tokens = 0;
        for (JsonNode count : read(window.report()).get("counts")) {
            tokens += count.get("prompt_tokens").asLong()
                    + count.get("late_prompt_tokens").asLong();
        }
        return tokens;
    }

    private static JsonNode read(String json) {
        try {
            return new ObjectMapper().readTree(json);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long endMillis = CLOCK.getAsLong() + WAIT_MILLIS;
        while (!condition.getAsBoolean()) {
            assertTrue(CLOCK.getAsLong() < endMillis, "condition not met in time");
            Thread.sleep(20);
        }
    }
}
