package org.cactusshift.pgm.bench;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.lang.ref.Reference;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Measures CPU time and memory of this process. */
final class Meter {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final int BATCHES = 5;
    private static final int GC_RUNS = 3;
    private static final long POLL_MILLIS = 5;
    private static final long AWAIT_TIMEOUT_MILLIS = 30_000;
    private static final double NANOS_PER_MICRO = 1_000;

    private Meter() {}

    /**
     * Returns the CPU time of one call of an operation in this thread, in microseconds: the median of several batches,
     * after a warm-up batch that is not measured.
     *
     * @param repeats the calls in a batch
     */
    static double cpuMicros(int repeats, Runnable operation) {
        repeat(repeats, operation);
        double[] batches = new double[BATCHES];
        for (int batch = 0; batch < BATCHES; batch++) {
            long startNanos = THREADS.getCurrentThreadCpuTime();
            repeat(repeats, operation);
            batches[batch] = (THREADS.getCurrentThreadCpuTime() - startNanos) / NANOS_PER_MICRO / repeats;
        }
        Arrays.sort(batches);
        return batches[BATCHES / 2];
    }

    private static void repeat(int repeats, Runnable operation) {
        for (int i = 0; i < repeats; i++) {
            operation.run();
        }
    }

    /** Returns by how many bytes the heap in use grew while the supplier ran, with its result reachable; at least 0. */
    static double retainedBytes(Supplier<?> build) {
        long before = usedHeapBytesAfterGc();
        Object retained = build.get();
        long after = usedHeapBytesAfterGc();
        Reference.reachabilityFence(retained);
        return Math.max(0, after - before);
    }

    private static long usedHeapBytesAfterGc() {
        for (int i = 0; i < GC_RUNS; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    /** Returns the ids of all live threads. */
    static Set<Long> threadIds() {
        Set<Long> ids = new HashSet<>();
        for (long id : THREADS.getAllThreadIds()) {
            ids.add(id);
        }
        return ids;
    }

    /** Returns the ids of the live threads with the given name. */
    static Set<Long> threadIdsNamed(String name) {
        Set<Long> ids = threadIds();
        ids.removeIf(id -> {
            ThreadInfo thread = THREADS.getThreadInfo(id);
            return thread == null || !thread.getThreadName().equals(name);
        });
        return ids;
    }

    /** Returns the CPU time that threads have used, in microseconds; threads that have ended count as 0. */
    static double cpuMicrosOf(Set<Long> threadIds) {
        return threadIds.stream()
                        .mapToLong(THREADS::getThreadCpuTime)
                        .filter(nanos -> nanos > 0)
                        .sum()
                / NANOS_PER_MICRO;
    }

    /**
     * Waits until a condition is true.
     *
     * @throws IllegalStateException after a timeout; the stack trace shows the condition
     */
    static void await(BooleanSupplier condition) {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(AWAIT_TIMEOUT_MILLIS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > endNanos) {
                throw new IllegalStateException(
                        "the awaited condition was not true within " + AWAIT_TIMEOUT_MILLIS + " ms");
            }
            pause(POLL_MILLIS);
        }
    }

    /** Sleeps for a duration. */
    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while measuring", e);
        }
    }
}
