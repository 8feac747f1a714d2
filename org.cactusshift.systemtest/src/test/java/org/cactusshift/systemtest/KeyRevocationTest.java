package org.cactusshift.systemtest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.cactusshift.id.AccountId;
import org.cactusshift.systemtest.SystemResult.Outcome;
import org.junit.jupiter.api.Test;

/** Keys withdrawn while a node can't see the change. */
class KeyRevocationTest extends FaultTest {
    /** The freshness of keys, and room for a loaded machine. */
    private static final long REVOCATION_LIMIT_MILLIS = SystemSite.TIMING.keyFreshnessMillis() + 12_000;

    /** A stream that fits the deadline of its call; a longer one is refused once the engines' rates are known. */
    private static final int LONG_STREAM_TOKENS = 700;

    private static final String UNAUTHORIZED = "401";

    @Test
    void revokedKeyIsRejectedByNodeIsolatedFromStore() throws Exception {
        ExecutorService streams = Executors.newSingleThreadExecutor();
        try (TcpRelay store = TcpRelay.start(site.platform().keyValueService().address());
                SystemCaller caller = new SystemCaller(site::bearer)) {
            SiteNode cutOff = site.startNode(store.address());
            site.awaitReady();
            AccountId account = AccountId.fromString("auditors");
            SystemCall stream = SystemCall.stream(account, "a long file", LONG_STREAM_TOKENS);
            Future<SystemResult> open = streams.submit(() -> caller.call(cutOff.callerAddress(), stream));
            BoundedWait.until("the stream at an engine", () -> open.isDone() || hasReachedEngine(stream));
            assertEquals("open", open.isDone() ? open.get().toString() : "open", "before the fault");
            store.cut();
            site.revokeKey(account);
            long startNanos = System.nanoTime();
            SystemCall read = SystemCall.stream(account, "a question", 1);
            for (SiteNode node : site.nodes()) {
                BoundedWait.until(
                        "a refusal at " + node.name(),
                        () -> caller.call(node.callerAddress(), read).detail().startsWith(UNAUTHORIZED));
            }
            SystemResult ended = open.get(SystemSite.BOUND_MILLIS, TimeUnit.MILLISECONDS);
            long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            assertEquals(Outcome.ENDED_EARLY, ended.outcome(), ended.toString());
            assertTrue(tookMillis <= REVOCATION_LIMIT_MILLIS, "withdrawn key worked for " + tookMillis + " ms");
            finish();
        } finally {
            streams.shutdownNow();
        }
    }

    private boolean hasReachedEngine(SystemCall call) {
        return site.platform().engines().stream()
                .anyMatch(engine -> !engine.log()
                        .matching(request -> request.body().contains(call.subject()))
                        .isEmpty());
    }
}
