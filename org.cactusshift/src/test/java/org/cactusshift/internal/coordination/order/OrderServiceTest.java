package org.cactusshift.internal.coordination.order;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.cactusshift.errors.Failure;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.OrderId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.SiteId;
import org.cactusshift.internal.coordination.lease.Authority;
import org.cactusshift.internal.coordination.lease.AuthoritySource;
import org.cactusshift.internal.coordination.lease.DutyId;
import org.cactusshift.internal.coordination.lease.FencedValue;
import org.cactusshift.internal.coordination.store.InMemoryKeyValueStore;
import org.junit.jupiter.api.Test;

class OrderServiceTest {
    private static final SiteId SITE = SiteId.fromString("test-site");
    private static final LongSupplier CLOCK = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    private static final long TIMEOUT_SECONDS = 20;
    private static final DutyId HELD =
            DutyId.engineOrders(FailureDomainId.fromString("ostend-a"), ServiceId.fromString("share-lm"));
    private static final DutyId NOT_HELD =
            DutyId.engineOrders(FailureDomainId.fromString("bruges-d"), ServiceId.fromString("share-lm"));
    private static final Order FIRST = new Order(
            OrderId.fromString("order-1"), "engine-1", "127.0.0.1:1", true, new OrderContent.LoadVersion("v2"));
    private static final Order SECOND = new Order(
            OrderId.fromString("order-2"), "engine-1", "127.0.0.1:1", true, new OrderContent.LoadVersion("v3"));

    private final InMemoryKeyValueStore store = InMemoryKeyValueStore.create(CLOCK);
    private final BlockingQueue<Long> sentFencingNumbers = new LinkedBlockingQueue<>();
    private final BlockingQueue<OrderResult> results = new LinkedBlockingQueue<>();
    private volatile OrderTransport.Progress progress = OrderTransport.Progress.RUNNING;

    /** Also checks that a second order to the target and an order of a duty that is not held are refused. */
    @Test
    void orderIsRecordedBeforeSendingAndRemovedAfterItsEnd() throws InterruptedException {
        try (OrderService service = OrderService.create(dependencies())) {
            service.addDuties(List.of(HELD, NOT_HELD));
            service.start();
            submitWhenHeld(service);
            assertEquals(7L, sentFencingNumbers.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
            assertEquals(List.of(FIRST), recorded());
            assertTrue(service.submit(HELD, SECOND).isLeft());
            assertTrue(service.submit(NOT_HELD, SECOND).isLeft());
            progress = OrderTransport.Progress.DONE;
            assertEquals(OrderResult.DONE, results.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
            assertEquals(List.of(), recorded());
            assertTrue(service.submit(HELD, SECOND).isRight());
        }
    }

    private void submitWhenHeld(OrderService service) throws InterruptedException {
        long endMillis = CLOCK.getAsLong() + TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS);
        while (service.submit(HELD, FIRST).isLeft()) {
            assertTrue(CLOCK.getAsLong() < endMillis, "the duty was not taken over within the timeout");
            Thread.sleep(10);
        }
    }

    private List<Order> recorded() {
        byte[] value = store.get(HELD.recordKey(SITE)).get().orElseThrow().value();
        return OrderRecord.fromBytes(FencedValue.fromBytes(value).orElseThrow().body())
                .outstanding();
    }

    private OrderServiceDependencies dependencies() {
        // 7 is the fencing number.
        AuthoritySource authorities = (duty, nowMillis) ->
                duty.equals(HELD) ? Optional.of(new Authority(duty, 7, Long.MAX_VALUE)) : Optional.empty();
        OrderTransport transport = new OrderTransport() {
            @Override
            public Either<Failure, SendResult> send(Order order, long fencingNumber) {
                sentFencingNumbers.add(fencingNumber);
                return Either.right(SendResult.ACCEPTED);
            }

            @Override
            public Either<Failure, Progress> progress(Order order) {
                return Either.right(progress);
            }
        };
        return new OrderServiceDependencies(
                SITE,
                new OrderTiming(100, 100, 20, 20),
                store,
                authorities,
                transport,
                (order, result) -> results.add(result),
                CLOCK);
    }
}
