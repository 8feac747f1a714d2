package org.cactusshift.internal.coordination.claim;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.AttemptId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.SiteId;
import org.cactusshift.internal.coordination.claim.ClaimResult.Verdict;
import org.cactusshift.internal.coordination.store.InMemoryKeyValueStore;
import org.cactusshift.internal.coordination.store.StoreCallKind;
import org.cactusshift.internal.coordination.store.StoreFault;
import org.cactusshift.internal.coordination.store.StoreFaultInjector;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class ClaimServiceTest {
    private static final SiteId SITE = SiteId.fromString("test-site");
    private static final LongSupplier CLOCK = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    private static final long TIMEOUT_MILLIS = 20_000;
    private static final CallOutcome PAID =
            new CallOutcome(201, "text/plain", "paid".getBytes(StandardCharsets.UTF_8), true);

    private final InMemoryKeyValueStore store = InMemoryKeyValueStore.create(CLOCK);

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void responseToRepeatedClaimDependsOnAttemptBodyAndOutcome(boolean remote) throws InterruptedException {
        try (ClaimService holder = holder("a", 10);
                ClaimService other = remoteTo(holder, "a")) {
            ClaimService service = remote ? other : holder;
            CallClaim first = call("key", "00", "attempt-1");
            assertEquals(Verdict.GRANTED, claim(service, first).verdict());
            assertEquals(Verdict.GRANTED, claim(service, first).verdict());
            assertEquals(
                    Verdict.OPEN, claim(service, call("key", "00", "attempt-2")).verdict());
            assertEquals(
                    Verdict.BODY_MISMATCH,
                    claim(service, call("key", "01", "attempt-3")).verdict());
            service.recordOutcome(first, PAID, CLOCK.getAsLong());
            await(service::areResolutionsDurable);
            ClaimResult repeated = claim(service, call("key", "00", "attempt-4"));
            assertEquals(Verdict.REPEATED, repeated.verdict());
            assertArrayEquals(PAID.body(), repeated.outcome().orElseThrow().body());
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void withdrawnKeyCanBeClaimedAgain(boolean remote) throws InterruptedException {
        try (ClaimService holder = holder("a", 10);
                ClaimService other = remoteTo(holder, "a")) {
            ClaimService service = remote ? other : holder;
            CallClaim first = call("key", "00", "attempt-1");
            assertEquals(Verdict.GRANTED, claim(service, first).verdict());
            service.withdraw(first, CLOCK.getAsLong());
            await(service::areResolutionsDurable);
            assertEquals(
                    Verdict.GRANTED,
                    claim(service, call("key", "01", "attempt-2")).verdict());
        }
    }

    @Test
    void unknownOutcomeIsReportedAsOpen() throws InterruptedException {
        try (ClaimService holder = holder("a", 10)) {
            CallClaim first = call("key", "00", "attempt-1");
            assertEquals(Verdict.GRANTED, claim(holder, first).verdict());
            holder.recordOutcome(first, CallOutcome.UNKNOWN, CLOCK.getAsLong());
            await(holder::areResolutionsDurable);
            assertEquals(
                    Verdict.OPEN, claim(holder, call("key", "00", "attempt-2")).verdict());
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = StoreFault.class,
            names = {"UNAVAILABLE", "LOSE_REQUEST", "LOSE_ANSWER", "DELAY_EFFECT"})
    void claimRefusedWhileStoreIsUnavailableDoesNotBlockItsKey(StoreFault fault) throws InterruptedException {
        try (ClaimService holder = holder("a", 10)) {
            assertEquals(
                    Verdict.GRANTED,
                    claim(holder, call("other", "00", "attempt-1")).verdict());
            store.setFaultInjector((kind, key) -> kind.isWrite() ? fault : StoreFault.UNAVAILABLE);
            CallClaim refused = call("key", "00", "attempt-2");
            long nowMillis = CLOCK.getAsLong();
            assertEquals(
                    Verdict.UNAVAILABLE,
                    holder.claim(refused, nowMillis, nowMillis + 300).verdict());
            store.setFaultInjector(StoreFaultInjector.NONE);
            store.applyDelayed();
            await(holder::areResolutionsDurable);
            assertEquals(
                    Verdict.GRANTED,
                    claim(holder, call("key", "00", "attempt-3")).verdict());
        }
    }

    @Test
    void successorLoadsEveryClaimFromManySegments() throws Exception {
        // Enough claims for more than two segments.
        int claims = 2_500;
        try (ClaimService holder = holder("a", 10)) {
            assertEquals(claims, claimAll(holder, "a", claims, 64));
        }
        assertTrue(store.list("/cactusshift/test-site/record/claim/0/segment/")
                        .get()
                        .values()
                        .size()
                > 2);
        try (ClaimService successor = holder("b", 11)) {
            assertEquals(
                    Verdict.OPEN,
                    claim(successor, call("key-0", "00", "attempt-x")).verdict());
            assertEquals(
                    Verdict.OPEN,
                    claim(successor, call("key-" + (claims - 1), "00", "attempt-y"))
                            .verdict());
            assertEquals(0, claimAll(successor, "b", claims, 64));
        }
    }

    /**
     * Checks that concurrent claims share writes where the batch limit permits it. Each write takes ten milliseconds.
     */
    @ParameterizedTest
    @CsvSource({"1,200,16", "128,200,16", "128,2000,128"})
    void claimsAreBatchedIntoWrites(int batchEntries, int claims, int threads) throws Exception {
        AtomicInteger writes = new AtomicInteger();
        ClaimService holder = ClaimService.create(dependencies("a", 10, true, new NoPeers()), batchEntries);
        holder.start();
        claim(holder, call("first", "00", "attempt-0"));
        store.setFaultInjector((kind, key) -> {
            if (kind == StoreCallKind.SWAP) {
                writes.incrementAndGet();
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(10));
            }
            return StoreFault.NONE;
        });
        long startMillis = CLOCK.getAsLong();
        assertEquals(claims, claimAll(holder, "a", claims, threads));
        long tookMillis = Math.max(1, CLOCK.getAsLong() - startMillis);
        holder.close();
        System.out.printf(
                "entries per write <= %d, %d threads: %d claims in %d writes, %.1f claims per write, %d claims/s%n",
                batchEntries,
                threads,
                claims,
                writes.get(),
                (double) claims / writes.get(),
                claims * 1_000L / tookMillis);
        if (batchEntries == 1) {
            assertTrue(writes.get() >= claims);
        } else {
            assertTrue(writes.get() * 4 < claims, writes.get() + " writes");
        }
    }

    private ClaimService holder(String name, long fencingNumber) {
        ClaimService service = ClaimService.create(dependencies(name, fencingNumber, true, new NoPeers()));
        service.start();
        return service;
    }

    private ClaimService remoteTo(ClaimService holder, String holderName) {
        ClaimServiceDependencies dependencies = dependencies(holderName, 0, false, new DirectPeers(holder));
        ClaimService service = ClaimService.create(dependencies);
        service.start();
        return service;
    }

    private ClaimServiceDependencies dependencies(
            String holderName, long fencingNumber, boolean isSelf, ClaimHolderClient peers) {
        FixedHolder view = new FixedHolder(FixedHolder.node(holderName), isSelf, fencingNumber);
        return new ClaimServiceDependencies(
                SITE,
                FixedHolder.node(isSelf ? holderName : "remote"),
                1,
                store,
                view,
                view,
                peers,
                CLOCK,
                System::currentTimeMillis);
    }

    private static int claimAll(ClaimService service, String prefix, int claims, int threads)
            throws InterruptedException, ExecutionException {
        ExecutorService executor = Executors.newFixedThreadPool(threads);
        try {
            List<Future<Verdict>> verdicts = new ArrayList<>();
            for (int i = 0; i < claims; i++) {
                CallClaim claim = call("key-" + i, "00", prefix + "-attempt-" + i);
                verdicts.add(executor.submit(() -> claim(service, claim).verdict()));
            }
            int granted = 0;
            for (Future<Verdict> verdict : verdicts) {
                granted += verdict.get() == Verdict.GRANTED ? 1 : 0;
            }
            return granted;
        } finally {
            executor.shutdownNow();
        }
    }

    private static ClaimResult claim(ClaimService service, CallClaim claim) {
        long nowMillis = CLOCK.getAsLong();
        return service.claim(claim, nowMillis, nowMillis + TIMEOUT_MILLIS);
    }

    private static CallClaim call(String key, String bodyDigestHex, String attempt) {
        return new CallClaim(
                AccountId.fromString("acme"),
                ServiceId.fromString("settle-app"),
                key,
                bodyDigestHex,
                AttemptId.fromString(attempt));
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long endMillis = CLOCK.getAsLong() + TIMEOUT_MILLIS;
        while (!condition.getAsBoolean()) {
            assertTrue(CLOCK.getAsLong() < endMillis, "condition not met within the timeout");
            Thread.sleep(10);
        }
    }
}
