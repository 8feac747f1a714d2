package org.cactusshift.replay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.internal.coordination.dispatch.AttemptEnd;
import org.cactusshift.internal.coordination.dispatch.EngineLoad;
import org.cactusshift.internal.coordination.routing.UpstreamState;

/**
 * A model engine with continuous batching, one iteration at a time.
 *
 * <p>Each iteration generates one token for each sequence that is past its prompt and processes a chunk of the prompts
 * that are not; the role sets the size of the chunk. A sequence holds its KV cache pieces from admission to its end.
 */
final class EngineSimulator implements SimulatedUpstream {
    static final double PREFILL_TOKENS_PER_SECOND = 8_000;
    static final double BASE_ITERATION_MILLIS = 15;
    static final double MILLIS_PER_SEQUENCE = 0.3;
    private static final int MIXED_CHUNK_TOKENS = 1_024;
    private static final int PREFILL_CHUNK_TOKENS = 8_192;
    private static final int DECODE_CHUNK_TOKENS = 256;
    private static final int PROGRESS_INTERVAL_TOKENS = 8;
    private static final double RATE_SMOOTHING_FACTOR = 0.1;

    private final TraceUpstream declaration;
    private final EventQueue events;
    private final Consumer<TraceEvent.Request> onCrashingRequest;
    private final ArrayDeque<SimulatedAttempt> waiting = new ArrayDeque<>();
    private final List<SimulatedAttempt> prefilling = new ArrayList<>();
    private final List<SimulatedAttempt> decoding = new ArrayList<>();
    private final SimulatedPrefixCache cache;
    private UpstreamConfig.Role role;
    private int usedBlocks;
    private boolean iterating;
    private boolean down;
    private boolean changingRole;
    private long epoch = 1;
    private double prefillRate = PREFILL_TOKENS_PER_SECOND;
    private double decodeRate = 1_000 / (BASE_ITERATION_MILLIS + MILLIS_PER_SEQUENCE);

    EngineSimulator(
            TraceUpstream declaration,
            UpstreamConfig.Role role,
            EventQueue events,
            Consumer<TraceEvent.Request> onCrashingRequest) {
        this.declaration = declaration;
        this.role = role;
        this.events = events;
        this.onCrashingRequest = onCrashingRequest;
        this.cache = new SimulatedPrefixCache(declaration.memoryPieces());
    }

    @Override
    public TraceUpstream declaration() {
        return declaration;
    }

    UpstreamConfig.Role role() {
        return role;
    }

    SimulatedPrefixCache cache() {
        return cache;
    }

    void startRoleChange() {
        changingRole = true;
    }

    void finishRoleChange(UpstreamConfig.Role newRole) {
        changingRole = false;
        role = newRole;
        cache.clear();
    }

    @Override
    public void accept(SimulatedAttempt job) {
        if (down) {
            job.end(AttemptEnd.Outcome.NOT_SENT);
        } else if (changingRole) {
            job.end(AttemptEnd.Outcome.NOT_RUN);
        } else {
            waiting.addLast(job);
            startIteration();
        }
    }

    @Override
    public void cancel(SimulatedAttempt job) {
        job.ended = true;
        waiting.remove(job);
        if (prefilling.remove(job) || decoding.remove(job)) {
            usedBlocks -= job.heldBlocks;
        }
    }

    private void startIteration() {
        if (iterating || down) {
            return;
        }
        admit();
        long prefillTokens = processPrefillChunk();
        if (prefillTokens == 0 && decoding.isEmpty() && prefilling.isEmpty()) {
            return;
        }
        iterating = true;
        double millis = BASE_ITERATION_MILLIS
                + MILLIS_PER_SEQUENCE * decoding.size()
                + prefillTokens * 1_000 / PREFILL_TOKENS_PER_SECOND;
        updateRates(prefillTokens, millis);
        long startEpoch = epoch;
        List<SimulatedAttempt> generating = new ArrayList<>(decoding);
        events.afterMillis(millis, () -> finishIteration(generating, startEpoch));
    }

    private void admit() {
        while (!waiting.isEmpty()) {
            SimulatedAttempt job = waiting.peekFirst();
            int needed = neededBlocks(job);
            if (usedBlocks + needed > declaration.memoryPieces() && usedBlocks > 0) {
                return;
            }
            waiting.removeFirst();
            job.heldBlocks = needed;
            usedBlocks += needed;
            cache.setLimit(declaration.memoryPieces() - usedBlocks);
            if (job.remainingPrefillTokens > 0) {
                long cachedTokens = (long) cache.countHits(job.prefixHashes) * UpstreamState.BLOCK_TOKENS;
                job.remainingPrefillTokens = Math.max(1, job.promptTokens - cachedTokens);
            }
            (job.remainingPrefillTokens > 0 ? prefilling : decoding).add(job);
        }
    }

    private static int neededBlocks(SimulatedAttempt job) {
        long tokens = job.promptTokens + (job.prefillOnly ? 0 : job.outputTokens);
        return (int) ((tokens + UpstreamState.BLOCK_TOKENS - 1) / UpstreamState.BLOCK_TOKENS);
    }

    private long processPrefillChunk() {
        long chunk = chunkTokens();
        long taken = 0;
        for (SimulatedAttempt job : prefilling) {
            long part = Math.min(job.remainingPrefillTokens, chunk - taken);
            job.remainingPrefillTokens -= part;
            taken += part;
            if (taken == chunk) {
                break;
            }
        }
        return taken;
    }

    private int chunkTokens() {
        switch (role) {
            case PREFILL:
                return PREFILL_CHUNK_TOKENS;
            case DECODE:
                return DECODE_CHUNK_TOKENS;
            default:
                return MIXED_CHUNK_TOKENS;
        }
    }

    private void updateRates(long prefillTokens, double millis) {
        if (prefillTokens >= DECODE_CHUNK_TOKENS) {
            prefillRate += RATE_SMOOTHING_FACTOR * (prefillTokens * 1_000 / millis - prefillRate);
        }
        decodeRate += RATE_SMOOTHING_FACTOR * (1_000 / millis - decodeRate);
    }

    private void finishIteration(List<SimulatedAttempt> generating, long startEpoch) {
        if (startEpoch != epoch) {
            return;
        }
        iterating = false;
        for (SimulatedAttempt job : generating) {
            if (!job.ended) {
                generateToken(job);
            }
        }
        for (SimulatedAttempt job : List.copyOf(prefilling)) {
            if (!job.ended && job.remainingPrefillTokens == 0) {
                finishPrefill(job);
            }
            if (down) {
                return;
            }
        }
        startIteration();
    }

    private void finishPrefill(SimulatedAttempt job) {
        if (job.traceRequest.crashes()) {
            onCrashingRequest.accept(job.traceRequest);
            return;
        }
        prefilling.remove(job);
        cache.store(job.prefixHashes);
        if (job.prefillOnly) {
            usedBlocks -= job.heldBlocks;
            job.end(AttemptEnd.Outcome.COMPLETED);
            return;
        }
        decoding.add(job);
        generateToken(job);
    }

    private void generateToken(SimulatedAttempt job) {
        job.generatedTokens++;
        boolean done = job.generatedTokens >= job.outputTokens;
        if (job.generatedTokens == 1) {
            job.listener.onTokens(1);
        } else if (job.generatedTokens % PROGRESS_INTERVAL_TOKENS == 0) {
            job.listener.onTokens(
                    job.generatedTokens == PROGRESS_INTERVAL_TOKENS
                            ? PROGRESS_INTERVAL_TOKENS - 1
                            : PROGRESS_INTERVAL_TOKENS);
        } else if (done) {
            long sinceLast = job.generatedTokens % PROGRESS_INTERVAL_TOKENS;
            job.listener.onTokens(job.generatedTokens < PROGRESS_INTERVAL_TOKENS ? sinceLast - 1 : sinceLast);
        }
        if (done) {
            decoding.remove(job);
            usedBlocks -= job.heldBlocks;
            cache.setLimit(declaration.memoryPieces() - usedBlocks);
            job.end(AttemptEnd.Outcome.COMPLETED);
        }
    }

    @Override
    public void crash() {
        down = true;
        iterating = false;
        epoch++;
        List<SimulatedAttempt> lost = new ArrayList<>(prefilling);
        lost.addAll(decoding);
        lost.addAll(waiting);
        prefilling.clear();
        decoding.clear();
        waiting.clear();
        usedBlocks = 0;
        cache.clear();
        lost.forEach(job -> job.end(AttemptEnd.Outcome.CRASHED));
    }

    @Override
    public void restart() {
        down = false;
    }

    @Override
    public boolean isDown() {
        return down;
    }

    long pendingPrefillTokens() {
        long queued = 0;
        for (SimulatedAttempt job : prefilling) {
            queued += job.remainingPrefillTokens;
        }
        for (SimulatedAttempt job : waiting) {
            queued += job.remainingPrefillTokens;
        }
        return queued;
    }

    @Override
    public EngineLoad load() {
        return new EngineLoad(
                events.nowMillis(),
                prefilling.size() + decoding.size(),
                waiting.size(),
                pendingPrefillTokens(),
                usedBlocks,
                declaration.memoryPieces(),
                prefillRate,
                decodeRate,
                role,
                changingRole,
                epoch);
    }
}
