package org.cactusshift.systemtest;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cactusshift.config.AccountConfig;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.systemtest.CallResult.Outcome;
import org.cactusshift.systemtest.TrafficCall.Kind;

/**
 * Starts a random call every 50 ms and sends the calls to the nodes of a site in turn; the same seed gives the same
 * calls.
 */
final class TrafficGenerator implements AutoCloseable {
    private static final long CALL_INTERVAL_MILLIS = 50;

    private static final long RETRY_DELAY_MILLIS = 1_000;

    private static final int MAXIMUM_RETRIES = 3;

    // Cumulative bounds of the mix, in tenths: 3 streamed chats, 2 non-streamed chats, 3 payouts, 2 balance queries.
    private static final int CALL_MIX_TOTAL = 10;

    private static final int STREAMED_CHAT_END = 3;

    private static final int CHAT_END = 5;

    private static final int PAYOUT_END = 8;

    private final FaultTestSite site;

    private final TrafficCaller caller;

    private final Random random;

    private final List<AccountId> accounts;

    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

    private final ExecutorService callers = Executors.newCachedThreadPool();

    private final List<CallResult> results = new ArrayList<>();

    private int nextCallIndex;

    private TrafficGenerator(FaultTestSite site, long seed) {
        this.site = site;
        this.caller = new TrafficCaller(site::bearerToken);
        this.random = new Random(seed);
        this.accounts = site.config().accounts().stream()
                .filter(account -> account.services().contains(ServiceId.fromString(TrafficCaller.PLAIN_SERVICE)))
                .map(AccountConfig::id)
                .toList();
    }

    /** Starts traffic that continues until {@link #finish}. */
    static TrafficGenerator start(FaultTestSite site, long seed) {
        TrafficGenerator traffic = new TrafficGenerator(site, seed);
        traffic.timer.scheduleAtFixedRate(traffic::startNextCall, 0, CALL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        return traffic;
    }

    private void startNextCall() {
        AccountId account = accounts.get(random.nextInt(accounts.size()));
        int choice = random.nextInt(CALL_MIX_TOTAL);
        Kind kind = Kind.BALANCE;
        if (choice < STREAMED_CHAT_END) {
            kind = Kind.STREAMED_CHAT;
        } else if (choice < CHAT_END) {
            kind = Kind.WHOLE_CHAT;
        } else if (choice < PAYOUT_END) {
            kind = Kind.PAYOUT;
        }
        String promptOrPaymentId = kind == Kind.BALANCE ? "" : kind + "-" + nextCallIndex;
        TrafficCall call = TrafficCall.of(kind, account, promptOrPaymentId, random);
        int firstNode = nextCallIndex;
        nextCallIndex++;
        callers.execute(() -> callWithRetries(call, firstNode));
    }

    /**
     * Makes a call. A payout whose outcome is unknown or whose connection was lost is retried at the next node, up to 3
     * times, with the same idempotency key.
     */
    private void callWithRetries(TrafficCall call, int firstNode) {
        for (int attempt = 0; attempt <= MAXIMUM_RETRIES; attempt++) {
            List<SiteNode> nodes = List.copyOf(site.nodes());
            CallResult result =
                    caller.call(nodes.get((firstNode + attempt) % nodes.size()).callerAddress(), call);
            synchronized (results) {
                results.add(result);
            }
            boolean retryable = result.outcome() == Outcome.UNKNOWN || result.outcome() == Outcome.LOST;
            if (call.kind() != Kind.PAYOUT || !retryable || !pauseBeforeRetry()) {
                return;
            }
        }
    }

    private static boolean pauseBeforeRetry() {
        try {
            TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MILLIS);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Waits until the given number of further calls of a kind have been answered. */
    void awaitAnswered(Kind kind, int count) throws InterruptedException {
        long before = answeredCount(kind);
        BoundedWait.until(count + " more answered calls of kind " + kind, () -> answeredCount(kind) >= before + count);
    }

    private long answeredCount(Kind kind) {
        synchronized (results) {
            return results.stream()
                    .filter(result -> result.outcome() == Outcome.ANSWERED)
                    .filter(result -> result.call().kind() == kind)
                    .count();
        }
    }

    /** Stops starting calls, waits up to 90 s for the open ones and returns all results. */
    List<CallResult> finish() throws InterruptedException {
        timer.shutdown();
        assertTrue(timer.awaitTermination(FaultTestSite.CONDITION_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        callers.shutdown();
        assertTrue(
                callers.awaitTermination(FaultTestSite.CONDITION_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS),
                "calls still open after " + FaultTestSite.CONDITION_TIMEOUT_MILLIS + " ms");
        synchronized (results) {
            return List.copyOf(results);
        }
    }

    @Override
    public void close() {
        timer.shutdownNow();
        callers.shutdownNow();
        caller.close();
    }
}
