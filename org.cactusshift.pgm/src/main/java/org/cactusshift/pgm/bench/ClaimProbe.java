package org.cactusshift.pgm.bench;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.cactusshift.errors.Failure;
import org.cactusshift.id.AttemptId;
import org.cactusshift.internal.coordination.claim.CallClaim;
import org.cactusshift.internal.coordination.claim.CallOutcome;
import org.cactusshift.internal.coordination.claim.ClaimHolderClient;
import org.cactusshift.internal.coordination.claim.ClaimResult;
import org.cactusshift.internal.coordination.claim.ClaimService;
import org.cactusshift.internal.coordination.claim.ClaimServiceDependencies;
import org.cactusshift.internal.coordination.lease.DutyHolder;
import org.cactusshift.internal.coordination.lease.DutyId;
import org.cactusshift.internal.coordination.store.InMemoryKeyValueStore;
import org.cactusshift.internal.coordination.store.KeyValueStore;
import org.cactusshift.internal.coordination.store.StoreFault;
import org.cactusshift.internal.coordination.store.StoreFaultInjector;
import org.cactusshift.messages.ClaimRequest;
import org.cactusshift.messages.ClaimResponse;
import org.cactusshift.messages.RecordOutcomeRequest;
import org.cactusshift.messages.RecordOutcomeResponse;

/**
 * Measures one claim shard: claims per store write, claims per second, and the sizes of its log in the store and of its
 * table of claims in memory.
 */
final class ClaimProbe implements Probe {
    /** The latency that is added to each write to the in-memory store when writes are measured. */
    private static final long SIMULATED_WRITE_LATENCY_MILLIS = 5;

    private static final int CLAIMS_PER_CALLER = 50;
    /** The maximum number of callers that fill the log in {@link #measureSizes}. */
    private static final int MAXIMUM_FILLING_CALLERS = 64;
    /** The deadline of a claim, counted from its sending; {@link ClaimService} gives a claim up earlier. */
    private static final long CLAIM_DEADLINE_MILLIS = 30_000;

    private static final byte[] RESPONSE_BODY =
            "{\"payout\":\"0123456789\",\"state\":\"done\"}".getBytes(StandardCharsets.UTF_8);
    // The sizes for a current and for a planned site: concurrent callers, and claims in a day.
    private static final int CALLERS_TODAY = 4;
    private static final int CALLERS_PLANNED = 64;
    private static final int CLAIMS_PER_DAY_TODAY = 1_000;
    private static final int CLAIMS_PER_DAY_PLANNED = 40_000;

    private final AtomicInteger nextClaim = new AtomicInteger();

    /** Fails every call, as the probe runs a single node. */
    private static final class NoPeers implements ClaimHolderClient {
        @Override
        public Either<Failure, ClaimResponse> claim(DutyHolder owner, ClaimRequest request, long timeoutMillis) {
            return Either.left(Failure.noEffect("claim", owner.peerAddress(), "unreachable"));
        }

        @Override
        public Either<Failure, RecordOutcomeResponse> sendResolutions(
                DutyHolder owner, RecordOutcomeRequest request, long timeoutMillis) {
            return Either.left(Failure.noEffect("record outcome", owner.peerAddress(), "unreachable"));
        }
    }

    @Override
    public List<ScalingMeasurement> measure(Scale scale) {
        List<Sample> claimsPerWrite = new ArrayList<>();
        List<Sample> claimsPerSecond = new ArrayList<>();
        for (int callers : scale.sizes(16, 48, 96)) {
            measureWrites(callers, claimsPerWrite, claimsPerSecond);
        }
        List<Sample> logBytes = new ArrayList<>();
        List<Sample> tableBytes = new ArrayList<>();
        for (int claims : scale.sizes(3_200, 6_400, 12_800)) {
            measureSizes(claims, logBytes, tableBytes);
        }
        return List.of(
                measurement(
                        "claims of a store write", "caller at once", CALLERS_TODAY, CALLERS_PLANNED, claimsPerWrite),
                measurement("claims/s of a shard", "caller at once", CALLERS_TODAY, CALLERS_PLANNED, claimsPerSecond),
                measurement(
                        "log in the store, bytes",
                        "claim in a day",
                        CLAIMS_PER_DAY_TODAY,
                        CLAIMS_PER_DAY_PLANNED,
                        logBytes),
                measurement(
                        "table, bytes", "claim in a day", CLAIMS_PER_DAY_TODAY, CLAIMS_PER_DAY_PLANNED, tableBytes));
    }

    private static ScalingMeasurement measurement(
            String measure, String per, int today, int planned, List<Sample> samples) {
        return new ScalingMeasurement(NodeRole.CLAIM_SHARD, measure, per, today, planned, samples);
    }

    private void measureWrites(int callers, List<Sample> claimsPerWrite, List<Sample> claimsPerSecond) {
        LongAdder writes = new LongAdder();
        StoreFaultInjector slowWrites = (kind, key) -> {
            if (kind.isWrite()) {
                writes.increment();
                Meter.pause(SIMULATED_WRITE_LATENCY_MILLIS);
            }
            return StoreFault.NONE;
        };
        KeyValueStore store =
                InMemoryKeyValueStore.create(BenchSite.MONOTONIC_MILLIS).setFaultInjector(slowWrites);
        try (ClaimService service = service(store, 1)) {
            service.start();
            // Returns once the shard has loaded its log, so that the loading is not measured.
            claimConcurrently(service, 1, 1);
            long before = writes.sum();
            long startNanos = System.nanoTime();
            claimConcurrently(service, callers, CLAIMS_PER_CALLER);
            double seconds = (System.nanoTime() - startNanos) / 1e9;
            double claims = (double) callers * CLAIMS_PER_CALLER;
            claimsPerWrite.add(new Sample(callers, claims / (writes.sum() - before)));
            claimsPerSecond.add(new Sample(callers, claims / seconds));
        }
    }

    private void measureSizes(int claims, List<Sample> logBytes, List<Sample> tableBytes) {
        KeyValueStore store = InMemoryKeyValueStore.create(BenchSite.MONOTONIC_MILLIS);
        int callers = Math.min(claims, MAXIMUM_FILLING_CALLERS);
        int claimed = callers * (claims / callers);
        try (ClaimService first = service(store, 1)) {
            first.start();
            claimConcurrently(first, callers, claims / callers);
        }
        logBytes.add(new Sample(
                claimed, CountingStore.storedBytes(store, DutyId.claim(0).recordKey(BenchSite.SITE))));
        // A successor loads the claims from the log; the heap that it retains is that of its table.
        ClaimService[] successor = new ClaimService[1];
        tableBytes.add(new Sample(claimed, Meter.retainedBytes(() -> {
            successor[0] = service(store, 2);
            successor[0].start();
            // Returns once the successor has loaded the log, so that the measured heap contains its table.
            claimConcurrently(successor[0], 1, 1);
            return successor[0];
        })));
        successor[0].close();
    }

    private static ClaimService service(KeyValueStore store, long fencingNumber) {
        FixedHolder duties = new FixedHolder(BenchSite.holder((int) fencingNumber), fencingNumber);
        return ClaimService.create(new ClaimServiceDependencies(
                BenchSite.SITE,
                duties.holder(),
                1,
                store,
                duties,
                duties,
                new NoPeers(),
                BenchSite.MONOTONIC_MILLIS,
                System::currentTimeMillis));
    }

    /** Submits claims from concurrent threads and records an outcome for each. */
    private void claimConcurrently(ClaimService service, int callers, int claimsPerCaller) {
        ExecutorService threads = Executors.newFixedThreadPool(callers);
        try {
            List<Future<?>> futures = new ArrayList<>();
            for (int caller = 0; caller < callers; caller++) {
                futures.add(threads.submit(() -> {
                    for (int i = 0; i < claimsPerCaller; i++) {
                        claimOne(service);
                    }
                }));
            }
            Meter.await(() -> futures.stream().allMatch(Future::isDone));
            futures.forEach(ClaimProbe::requireSuccess);
        } finally {
            threads.shutdownNow();
        }
    }

    private static void requireSuccess(Future<?> future) {
        try {
            future.get();
        } catch (InterruptedException | ExecutionException e) {
            throw new IllegalStateException("claiming failed or was interrupted", e);
        }
    }

    private void claimOne(ClaimService service) {
        int number = nextClaim.incrementAndGet();
        CallClaim claim = new CallClaim(
                BenchSite.accountId(number % SiteSizes.ACCOUNTS_PLANNED),
                BenchSite.MODEL,
                String.format("payout-%08d-%08d", number, number),
                "ab".repeat(32),
                AttemptId.fromString("attempt-" + number));
        ClaimResult.Verdict verdict = ClaimResult.Verdict.UNAVAILABLE;
        for (int attempts = 0; attempts < 3 && verdict != ClaimResult.Verdict.GRANTED; attempts++) {
            long nowMillis = BenchSite.MONOTONIC_MILLIS.getAsLong();
            verdict = service.claim(claim, nowMillis, nowMillis + CLAIM_DEADLINE_MILLIS)
                    .verdict();
        }
        if (verdict != ClaimResult.Verdict.GRANTED) {
            throw new IllegalStateException("claim " + number + " was not granted; last verdict: " + verdict);
        }
        service.recordOutcome(
                claim,
                new CallOutcome(200, "application/json", RESPONSE_BODY, true),
                BenchSite.MONOTONIC_MILLIS.getAsLong());
    }
}
