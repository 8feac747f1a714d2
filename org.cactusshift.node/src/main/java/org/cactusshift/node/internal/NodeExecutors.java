package org.cactusshift.node.internal;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import org.cactusshift.internal.coordination.DaemonThreads;

/**
 * The executors that the components of a node share.
 *
 * @param scheduler runs short delayed and periodic tasks
 * @param workers runs blocking calls
 */
public record NodeExecutors(ScheduledExecutorService scheduler, ExecutorService workers) implements AutoCloseable {
    private static final int SCHEDULER_THREADS = 4;

    /**
     * Returns new executors with daemon threads.
     *
     * @return the executors
     */
    public static NodeExecutors create() {
        ScheduledThreadPoolExecutor scheduler =
                new ScheduledThreadPoolExecutor(SCHEDULER_THREADS, DaemonThreads.named("node-timer"));
        scheduler.setRemoveOnCancelPolicy(true);
        return new NodeExecutors(scheduler, Executors.newCachedThreadPool(DaemonThreads.named("node-worker")));
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
        workers.shutdownNow();
    }
}
