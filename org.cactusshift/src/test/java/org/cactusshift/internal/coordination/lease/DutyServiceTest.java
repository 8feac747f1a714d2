package org.cactusshift.internal.coordination.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.SiteId;
import org.cactusshift.internal.coordination.store.InMemoryKeyValueStore;
import org.junit.jupiter.api.Test;

class DutyServiceTest {
    private static final SiteId SITE = SiteId.fromString("test-site");
    private static final DutyId DUTY = DutyId.claim(3);
    private static final long WAIT_MILLIS = 20_000;
    private static final LongSupplier CLOCK = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    // The time to live exceeds the test's wait, so a hand-over within it can't result from expiry of the lease.
    // In milliseconds: time to live, renewal period, retry delay, poll period, delay per rank, clock-drift margin.
    private static final LeaseTiming TIMING = new LeaseTiming(600_000, 200_000, 50, 50, 50, 10);

    @Test
    void otherNodeAcquiresTheDutyOfAClosedHolderBeforeTheLeaseExpires() throws InterruptedException {
        InMemoryKeyValueStore store = InMemoryKeyValueStore.create(CLOCK);
        try (DutyService first = service(store, "a");
                DutyService second = service(store, "b")) {
            first.start();
            await(() -> first.authority(DUTY, CLOCK.getAsLong()).isPresent());
            long fencingNumber =
                    first.authority(DUTY, CLOCK.getAsLong()).orElseThrow().fencingNumber();
            second.start();
            await(() -> second.holder(DUTY).isPresent());
            assertEquals(
                    Optional.of(InstanceId.fromString("a")), second.holder(DUTY).map(DutyHolder::instance));
            first.close();
            assertTrue(first.authority(DUTY, CLOCK.getAsLong()).isEmpty());
            await(() -> second.authority(DUTY, CLOCK.getAsLong()).isPresent());
            assertTrue(second.authority(DUTY, CLOCK.getAsLong()).orElseThrow().fencingNumber() > fencingNumber);
        }
    }

    private static DutyService service(InMemoryKeyValueStore store, String name) {
        DutyHolder self =
                new DutyHolder(InstanceId.fromString(name), IncarnationId.fromString(name + "1"), "127.0.0.1:1", 0);
        DutyService service = DutyService.create(store, SITE, self, TIMING, CLOCK);
        service.setRequiredDuties(Set.of(DUTY));
        service.setLiveNodes(Set.of(InstanceId.fromString("a"), InstanceId.fromString("b")));
        return service;
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long endMillis = CLOCK.getAsLong() + WAIT_MILLIS;
        while (!condition.getAsBoolean()) {
            assertTrue(CLOCK.getAsLong() < endMillis, "condition not met in time");
            Thread.sleep(10);
        }
    }
}
