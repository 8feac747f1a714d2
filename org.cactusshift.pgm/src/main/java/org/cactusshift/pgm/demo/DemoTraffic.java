package org.cactusshift.pgm.demo;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;
import java.util.function.LongSupplier;
import org.cactusshift.internal.transport.http.HttpClientPool;
import org.cactusshift.internal.transport.http.HttpClientSettings;
import org.cactusshift.node.Node;

/** Sends the calls of a trace at their times, in round-robin order over the nodes. */
final class DemoTraffic {
    /** Connect timeout, progress timeout, maximum connections per address, idle expiry; times in milliseconds. */
    private static final HttpClientSettings CLIENT_SETTINGS = new HttpClientSettings(2_000, 60_000, 4_096, 10_000);

    private static final long COMPLETION_TIMEOUT_MILLIS = 60_000;

    private final DemoSite site;
    private final LongSupplier clockMillis = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());

    DemoTraffic(DemoSite site) {
        this.site = site;
    }

    /**
     * Sends the calls and waits for their results.
     *
     * @param calls the calls
     * @param onFinished receives the number of calls that have a result; is not called concurrently
     * @return the results in the order of completion, without calls that have none a minute after the last call is due
     * @throws InterruptedException if the thread is interrupted
     */
    List<DemoResult> run(List<DemoCall> calls, IntConsumer onFinished) throws InterruptedException {
        ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(2);
        ExecutorService callers = Executors.newCachedThreadPool();
        List<DemoResult> results = new ArrayList<>();
        CountDownLatch pendingCalls = new CountDownLatch(calls.size());
        try (HttpClientPool pool = HttpClientPool.create(() -> CLIENT_SETTINGS, clockMillis, scheduler)) {
            DemoCaller caller = new DemoCaller(pool, site::bearerToken, clockMillis);
            for (int i = 0; i < calls.size(); i++) {
                DemoCall call = calls.get(i);
                Node node = site.nodes().get(i % site.nodes().size());
                Runnable task = () -> {
                    try {
                        DemoResult result = caller.call(node.callerAddress(), call);
                        synchronized (results) {
                            results.add(result);
                            onFinished.accept(results.size());
                        }
                    } finally {
                        pendingCalls.countDown();
                    }
                };
                scheduler.schedule(() -> callers.execute(task), call.atMillis(), TimeUnit.MILLISECONDS);
            }
            long lastMillis = calls.isEmpty() ? 0 : calls.get(calls.size() - 1).atMillis();
            pendingCalls.await(lastMillis + COMPLETION_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } finally {
            scheduler.shutdownNow();
            callers.shutdownNow();
        }
        synchronized (results) {
            return List.copyOf(results);
        }
    }
}
