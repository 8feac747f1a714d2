package org.cactusshift.replay.benchmark;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.cactusshift.id.AccountId;
import org.cactusshift.internal.coordination.fairness.FairQueue;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the fair queue with requests of many client accounts waiting. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class FairQueueBenchmark {
    /** The number of client accounts; the larger one is what the product is designed for. */
    @Param({"8", "7700"})
    private int waitingAccounts;

    private final Random random = new Random(1);
    private final List<AccountId> accounts = new ArrayList<>();
    private FairQueue<AccountId> queue;

    /**
     * Queues one request of each client account, with a random cost of 1 to 8,000 weighted tokens and a random latest
     * start from 0 to 9,999 ms.
     */
    @Setup
    public void setUp() {
        queue = FairQueue.create();
        for (int i = 0; i < waitingAccounts; i++) {
            AccountId account = AccountId.fromString("account-" + i);
            accounts.add(account);
            queue.add(account, account, 1 + random.nextInt(8_000), random.nextInt(10_000));
        }
    }

    /**
     * Dequeues the next request and queues another one of its client account, with a new random cost and latest start.
     *
     * @return the client account of the dequeued request
     */
    @Benchmark
    public AccountId dequeueAndAdd() {
        AccountId account = queue.heads(1).get(0);
        queue.dequeue(account, account);
        queue.add(account, account, 1 + random.nextInt(8_000), random.nextInt(10_000));
        return account;
    }

    /**
     * Estimates the cost of the requests ahead of a new one, whose latest start is in the middle of their range.
     *
     * @return the cost, in weighted tokens
     */
    @Benchmark
    public double costAhead() {
        return queue.costAhead(accounts.get(random.nextInt(waitingAccounts)), 5_000);
    }
}
