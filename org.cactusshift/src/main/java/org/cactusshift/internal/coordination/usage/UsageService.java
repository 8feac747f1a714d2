package org.cactusshift.internal.coordination.usage;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.cactusshift.internal.coordination.DaemonThreads;
import org.cactusshift.messages.UsageAck;
import org.cactusshift.messages.UsageBatch;

/**
 * Records usage at this node, hands it over to the holders of the usage shards, and aggregates and reports the usage of
 * the shards that this node holds.
 */
public final class UsageService implements UsageRecorder, AutoCloseable {
    private static final System.Logger LOG = System.getLogger(UsageService.class.getName());
    /** The maximum number of shards whose cycles run at the same time. */
    private static final int MAXIMUM_THREADS = 4;
    /** The maximum number of cycles of each shard during {@link #close}. */
    private static final int MAXIMUM_CLOSING_CYCLES = 3;

    private final UsageServiceDependencies dependencies;
    private final UsageCounters counters = new UsageCounters();
    private final List<UsageShard> shards;
    private final ScheduledExecutorService timer =
            Executors.newSingleThreadScheduledExecutor(DaemonThreads.named("usage-timer"));
    /** The shards with a cycle that waits for a worker. */
    private final Set<UsageShard> shardsAwaitingCycle = ConcurrentHashMap.newKeySet();

    private final ExecutorService workers;

    private UsageService(UsageServiceDependencies dependencies) {
        this.dependencies = dependencies;
        this.shards = IntStream.range(0, dependencies.shards().count())
                .mapToObj(shard -> new UsageShard(dependencies, shard, counters))
                .toList();
        this.workers =
                Executors.newFixedThreadPool(Math.min(MAXIMUM_THREADS, shards.size()), DaemonThreads.named("usage"));
    }

    /**
     * Creates a service that is not yet started.
     *
     * @param dependencies the dependencies and settings
     * @return the service
     */
    public static UsageService create(UsageServiceDependencies dependencies) {
        return new UsageService(dependencies);
    }

    /** Starts the periodic cycles that hand over, store and report usage. */
    public void start() {
        timer.scheduleWithFixedDelay(
                this::startCycles, dependencies.handOverMillis(), dependencies.handOverMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void record(UsageRecord usage, long epochMillis) {
        UsageTotals totals = UsageTotals.onTime(usage.promptTokens(), usage.completionTokens(), usage.requests());
        shards.get(dependencies.shards().shardOf(usage.account()))
                .add(new UsageKey(usage.account(), usage.service()), totals, epochMillis);
    }

    /**
     * Accepts a batch that another node hands over.
     *
     * <p>The sequence in the acknowledgement is the last durable batch of the sender's stream. A batch that is accepted
     * but not yet durable is sent again later. An acknowledgement that is not accepted, but whose sequence is at least
     * that of the batch, refuses the batch permanently: the sender must drop it. Any other that is not accepted means
     * that the batch may be sent again: this node has no such shard, does not hold it or has not loaded its windows, an
     * earlier batch is missing, or the record is full.
     *
     * @param batch the batch
     * @return the acknowledgement
     */
    public UsageAck acceptBatch(UsageBatch batch) {
        if (batch.getShard() < 0 || batch.getShard() >= shards.size()) {
            return UsageAck.getDefaultInstance();
        }
        return shards.get(batch.getShard()).accept(batch);
    }

    /**
     * Returns the usage counters of this node.
     *
     * @return the counters
     */
    public UsageCounters counters() {
        return counters;
    }

    /**
     * Returns whether all usage recorded at this node is durable.
     *
     * @return false while counts are pending
     */
    public boolean isAllDurable() {
        return shards.stream().allMatch(UsageShard::isAllDurable);
    }

    /** Stops after handing over the remaining counts, within a bounded number of cycles. */
    @Override
    public void close() {
        timer.shutdownNow();
        workers.shutdown();
        try {
            shards.forEach(UsageShard::runCycle);
            for (int cycle = 1; cycle < MAXIMUM_CLOSING_CYCLES && !isAllDurable(); cycle++) {
                // A remote holder stores a batch in its next cycle and reports it as durable when the batch is sent
                // again.
                Thread.sleep(dependencies.handOverMillis());
                shards.forEach(UsageShard::runCycle);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (!isAllDurable()) {
            LOG.log(
                    System.Logger.Level.ERROR,
                    "usage counts may be lost: at shutdown not all were confirmed as durable within "
                            + MAXIMUM_CLOSING_CYCLES + " cycles");
        }
    }

    private void startCycles() {
        for (UsageShard shard : shards) {
            if (!shardsAwaitingCycle.add(shard)) {
                continue;
            }
            try {
                workers.execute(() -> runCycle(shard));
            } catch (RejectedExecutionException e) {
                LOG.log(System.Logger.Level.DEBUG, "usage cycle dropped: the usage service is shut down", e);
            }
        }
    }

    private void runCycle(UsageShard shard) {
        shardsAwaitingCycle.remove(shard);
        try {
            shard.runCycle();
        } catch (RuntimeException e) {
            // An exception here is a defect, not a failure of a peer.
            LOG.log(System.Logger.Level.ERROR, "usage cycle of a shard failed; its next cycle runs as scheduled", e);
        }
    }
}
