package org.cactusshift.standin.engine;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.cactusshift.config.UpstreamConfig.Role;

/**
 * The continuous batch of an engine.
 *
 * <p>One thread executes {@link #run()}. Each step processes a bounded number of prompt tokens and produces one token
 * for each decoding sequence, and takes as long as the configured rates require. Hence a long prompt slows down the
 * sequences that decode in the same batch, and a larger batch increases the time between tokens.
 */
final class EngineBatch implements Runnable {
    private static final int MAXIMUM_STEP_PREFILL_TOKENS = 512;

    private static final int MAXIMUM_BATCH_SEQUENCES = 64;

    /** The factor by which prefill is slower in the decode role, and decode in the prefill role. */
    private static final double ROLE_MISMATCH_SLOWDOWN = 4;

    /** The longest wait of an idle batch, and the minimum interval between recorded load reports. */
    private static final long IDLE_MILLIS = 20;

    private static final double NANOS_PER_SECOND = 1e9;

    private static final double NANOS_PER_MILLI = 1e6;

    private final int totalBlocks;

    private final EngineTiming timing;

    private final Runnable onCrash;

    private final CacheEventLog events;

    private final PrefixCache cache;

    private final List<Sequence> waiting = new ArrayList<>();

    private final List<Sequence> running = new ArrayList<>();

    private final Deque<LoadReport> reports = new ArrayDeque<>();

    private Role role;

    private String version;

    private boolean outOfService;

    private long nextArrivalNumber;

    private long stepEndNanos;

    private boolean stopped;

    EngineBatch(EngineSettings settings, Runnable onCrash) {
        this.totalBlocks = settings.memoryBlocks();
        this.timing = settings.timing();
        this.role = settings.role();
        this.version = settings.version();
        this.onCrash = onCrash;
        this.events = new CacheEventLog(timing.eventLagMillis(), timing.lostEventInterval());
        this.cache = new PrefixCache(events);
        reports.add(measure(nowMillis()));
    }

    /** Queues a request. */
    synchronized Sequence submit(GenerateRequest request, int fetchedTokens, boolean crashing) {
        Sequence sequence = new Sequence(request, nextArrivalNumber++, fetchedTokens, crashing);
        waiting.add(sequence);
        waiting.sort(
                Comparator.<Sequence>comparingInt(queued -> queued.request().priority())
                        .thenComparingLong(Sequence::arrivalNumber));
        notifyAll();
        return sequence;
    }

    /** Aborts a request unless it has finished. */
    synchronized void cancel(Sequence sequence) {
        if (!sequence.isFinished()) {
            finish(sequence, Sequence.State.ABORTED);
        }
    }

    /** Takes the engine out of service, aborts all requests and clears the prefix cache. */
    synchronized void takeOutOfService() {
        outOfService = true;
        abortAll();
        cache.clear(nowMillis());
    }

    /** Returns the engine to service with a role and a version. */
    synchronized void returnToService(Role newRole, String newVersion) {
        role = newRole;
        version = newVersion;
        outOfService = false;
        notifyAll();
    }

    /** Stops the batch for good and aborts all requests. */
    synchronized void stop() {
        stopped = true;
        abortAll();
    }

    synchronized boolean isOutOfService() {
        return outOfService;
    }

    synchronized Role role() {
        return role;
    }

    synchronized String version() {
        return version;
    }

    synchronized boolean isStopped() {
        return stopped;
    }

    /**
     * Waits until a sequence has produced more than a number of tokens, has finished, or the wait time has elapsed.
     *
     * @return the number of tokens produced so far
     * @throws IOException if the sequence was aborted
     */
    synchronized int awaitMoreTokens(Sequence sequence, int tokens, long waitMillis) throws IOException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
        while (sequence.producedTokens <= tokens && !sequence.isFinished()) {
            long remainingMillis = TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
            if (remainingMillis <= 0) {
                break;
            }
            await(remainingMillis);
        }
        if (sequence.state == Sequence.State.ABORTED) {
            throw new IOException("the sequence was aborted");
        }
        return sequence.producedTokens;
    }

    synchronized boolean isDone(Sequence sequence) {
        return sequence.state == Sequence.State.DONE;
    }

    synchronized Sequence.State stateOf(Sequence sequence) {
        return sequence.state;
    }

    synchronized int producedTokens(Sequence sequence) {
        return sequence.producedTokens;
    }

    /** Returns the newest report that is at least as old as the lag, or else the oldest one; removes all older ones. */
    synchronized LoadReport report(long nowMillis) {
        while (reports.size() > 1 && secondOldestReport().measuredAtMillis() + timing.loadLagMillis() <= nowMillis) {
            reports.removeFirst();
        }
        return reports.getFirst();
    }

    synchronized List<CacheEventLog.CacheEvent> eventsAfter(long sequence, long nowMillis) {
        return events.publishedAfter(sequence, nowMillis);
    }

    static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    @Override
    public void run() {
        try {
            boolean continuing = true;
            while (continuing) {
                continuing = runStep();
            }
        } catch (InterruptedIOException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean runStep() throws InterruptedIOException {
        int prefillTokens;
        synchronized (this) {
            if (stopped) {
                return false;
            }
            admit();
            recordReport();
            if (running.isEmpty()) {
                await(IDLE_MILLIS);
                return true;
            }
            prefillTokens = plannedPrefillTokens();
            long nowNanos = System.nanoTime();
            stepEndNanos = Math.max(nowNanos, stepEndNanos) + stepNanos(prefillTokens);
        }
        LockSupport.parkNanos(stepEndNanos - System.nanoTime());
        if (finishStep(prefillTokens)) {
            onCrash.run();
            return false;
        }
        return true;
    }

    private void admit() {
        int free = totalBlocks - usedBlocks();
        while (!waiting.isEmpty()
                && running.size() < MAXIMUM_BATCH_SEQUENCES
                && waiting.get(0).blocks() <= free) {
            Sequence next = waiting.remove(0);
            free -= next.blocks();
            next.begin(cache.useCachedBlocks(next.prefixHashes()));
            cache.evictDownTo(free, nowMillis());
            running.add(next);
        }
    }

    /** Applies the results of a step and returns whether a sequence in the batch crashes the engine. */
    private synchronized boolean finishStep(int prefillTokens) {
        int remaining = prefillTokens;
        for (Sequence sequence : List.copyOf(running)) {
            if (sequence.state == Sequence.State.DECODING) {
                produce(sequence);
            } else if (remaining > 0) {
                int processed = Math.min(remaining, sequence.remainingPrefillTokens);
                remaining -= processed;
                sequence.remainingPrefillTokens -= processed;
                if (sequence.crashesEngine()) {
                    return true;
                }
                if (sequence.remainingPrefillTokens == 0) {
                    sequence.state = Sequence.State.DECODING;
                    produce(sequence);
                }
            }
        }
        notifyAll();
        return false;
    }

    private void produce(Sequence sequence) {
        sequence.producedTokens++;
        if (sequence.producedTokens == sequence.request().outputTokens()) {
            finish(sequence, Sequence.State.DONE);
            cache.store(sequence.prefixHashes(), totalBlocks - usedBlocks(), nowMillis());
        }
    }

    private void finish(Sequence sequence, Sequence.State finalState) {
        waiting.remove(sequence);
        running.remove(sequence);
        sequence.state = finalState;
        notifyAll();
    }

    private void abortAll() {
        waiting.forEach(sequence -> sequence.state = Sequence.State.ABORTED);
        running.forEach(sequence -> sequence.state = Sequence.State.ABORTED);
        waiting.clear();
        running.clear();
        notifyAll();
    }

    private int plannedPrefillTokens() {
        long pending = running.stream()
                .filter(sequence -> sequence.state == Sequence.State.PREFILL)
                .mapToLong(sequence -> sequence.remainingPrefillTokens)
                .sum();
        return (int) Math.min(MAXIMUM_STEP_PREFILL_TOKENS, pending);
    }

    private long stepNanos(int prefillTokens) {
        long decoding = running.stream()
                .filter(sequence -> sequence.state == Sequence.State.DECODING)
                .count();
        double prefillNanos = prefillTokens / prefillRate() * NANOS_PER_SECOND;
        double decodeNanos = decoding == 0 ? 0 : decodeMillis(decoding) * NANOS_PER_MILLI;
        return (long) (prefillNanos + decodeNanos);
    }

    private double prefillRate() {
        return timing.prefillTokensPerSecond() / (role == Role.DECODE ? ROLE_MISMATCH_SLOWDOWN : 1);
    }

    private double decodeMillis(long batchSize) {
        double millis = timing.decodeMillis() + timing.decodeMillisPerRequest() * (batchSize - 1);
        return millis * (role == Role.PREFILL ? ROLE_MISMATCH_SLOWDOWN : 1);
    }

    /** Returns the number of blocks that running sequences hold; cached prefixes may use the other blocks. */
    private int usedBlocks() {
        return running.stream().mapToInt(Sequence::blocks).sum();
    }

    private void recordReport() {
        long nowMillis = nowMillis();
        if (reports.getLast().measuredAtMillis() + IDLE_MILLIS <= nowMillis) {
            // Removes outdated reports, also when nobody polls.
            report(nowMillis);
            reports.addLast(measure(nowMillis));
        }
    }

    private LoadReport measure(long nowMillis) {
        long pending = 0;
        for (Sequence sequence : waiting) {
            pending += sequence.remainingPrefillTokens;
        }
        for (Sequence sequence : running) {
            pending += sequence.remainingPrefillTokens;
        }
        // Tokens per second of one sequence; the decode time may be 0.
        double decodeRate = TimeUnit.SECONDS.toMillis(1) / Math.max(0.001, decodeMillis(Math.max(1, running.size())));
        return new LoadReport(
                nowMillis,
                role,
                running.size(),
                waiting.size(),
                pending,
                usedBlocks(),
                prefillRate(),
                decodeRate,
                version,
                outOfService);
    }

    private LoadReport secondOldestReport() {
        return reports.stream().skip(1).findFirst().orElseThrow();
    }

    private void await(long millis) throws InterruptedIOException {
        try {
            wait(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted");
        }
    }
}
