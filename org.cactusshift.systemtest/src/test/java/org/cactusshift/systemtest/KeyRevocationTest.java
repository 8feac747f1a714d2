package org.cactusshift.systemtest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.cactusshift.id.AccountId;
import org.cactusshift.standin.link.TcpRelay;
import org.cactusshift.systemtest.CallResult.Outcome;
import org.junit.jupiter.api.Test;

/** Revokes a key while one node is isolated from the store. */
class KeyRevocationTest extends FaultTest {
    /**
     * Longest accepted time from the revocation until all nodes reject the key and the open stream has ended: the key
     * freshness of the configuration, plus 12 s of margin for a loaded machine.
     */
    private static final long REVOCATION_LIMIT_MILLIS = FaultTestSite.TIMING.keyFreshnessMillis() + 12_000;

    /**
     * Number of tokens of the open stream, which can end before its request's deadline. The dispatcher refuses a longer
     * one once it has estimated the engines' rates.
     */
    private static final int LONG_STREAM_TOKENS = 700;

    private static final String UNAUTHORIZED = "401";

    @Test
    void revokedKeyIsRejectedByNodeIsolatedFromStore() throws Exception {
        ExecutorService streams = Executors.newSingleThreadExecutor();
        try (TcpRelay storeRelay =
                        TcpRelay.start(site.platform().keyValueService().address());
                TrafficCaller caller = new TrafficCaller(site::bearerToken)) {
            SiteNode isolated = site.startNode(storeRelay.address());
            site.awaitReady();
            AccountId account = AccountId.fromString("auditors");
            TrafficCall stream = TrafficCall.stream(account, "a long file", LONG_STREAM_TOKENS);
            Future<CallResult> openStream = streams.submit(() -> caller.call(isolated.callerAddress(), stream));
            BoundedWait.until(
                    "the arrival of the stream at an engine", () -> openStream.isDone() || hasReachedEngine(stream));
            assertEquals(
                    "open",
                    openStream.isDone() ? openStream.get().toString() : "open",
                    "the stream ended before the fault");
            storeRelay.cut();
            site.revokeKey(account);
            long startNanos = System.nanoTime();
            TrafficCall probe = TrafficCall.stream(account, "a question", 1);
            for (SiteNode node : site.nodes()) {
                BoundedWait.until(
                        "rejection of the revoked key at " + node.name(),
                        () -> caller.call(node.callerAddress(), probe).detail().startsWith(UNAUTHORIZED));
            }
            CallResult ended = openStream.get(FaultTestSite.CONDITION_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            assertEquals(Outcome.ENDED_EARLY, ended.outcome(), ended.toString());
            assertTrue(
                    tookMillis <= REVOCATION_LIMIT_MILLIS,
                    "the key was rejected everywhere and the open stream ended only after " + tookMillis + " ms");
            finish();
        } finally {
            streams.shutdownNow();
        }
    }

    private boolean hasReachedEngine(TrafficCall call) {
        return site.platform().engines().stream()
                .anyMatch(engine -> !engine.log()
                        .matching(request -> request.body().contains(call.promptOrPaymentId()))
                        .isEmpty());
    }
}
