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
 * Simulates a model engine with continuous batching, one iteration at a time.
 *
 * <p>Each iteration generates one token for each decoding sequence and processes a chunk of the prompts of the others;
 * the role determines the size of the chunk. A sequence holds its KV-cache blocks from its admission to its end.
 */
final class SimulatedEngine implements SimulatedUpstream {
    static final double PREFILL_TOKENS_PER_SECOND = 8_000;
    static final double BASE_ITERATION_MILLIS = 15;
    static final double ITERATION_MILLIS_PER_SEQUENCE = 0.3;
    private static final int MIXED_CHUNK_TOKENS = 1_024;
    private static final int PREFILL_CHUNK_TOKENS = 8_192;
    private static final int DECODE_CHUNK_TOKENS = 256;
    /** The number of output tokens per report to the node; the first token is reported alone. */
    private static final int PROGRESS_INTERVAL_TOKENS = 8;

    private static final double RATE_SMOOTHING_FACTOR = 0.1;

    private final TraceUpstream declaration;
    private final EventQueue events;
    /** Called when the prefill of a crash-inducing request ends; must crash this engine. */
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
    /** The number of the incarnation; raised by a crash, so that iterations that it interrupted are ignored. */
    private long epoch = 1;

    private double prefillTokensPerSecond = PREFILL_TOKENS_PER_SECOND;
    private double decodeTokensPerSecondPerSequence = 1_000 / (BASE_ITERATION_MILLIS + ITERATION_MILLIS_PER_SEQUENCE);

    SimulatedEngine(
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

    /** Refuses new attempts until {@link #finishRoleChange}, which also clears the prefix cache. */
    void startRoleChange() {
        changingRole = true;
    }

    void finishRoleChange(UpstreamConfig.Role newRole) {
        changingRole = false;
        role = newRole;
        cache.clear();
    }

    @Override
    public void accept(SimulatedAttempt attempt) {
        if (down) {
            attempt.end(AttemptEnd.Outcome.NOT_SENT);
        } else if (changingRole) {
            attempt.end(AttemptEnd.Outcome.NOT_RUN);
        } else {
            waiting.addLast(attempt);
            startIteration();
        }
    }

    @Override
    public void cancel(SimulatedAttempt attempt) {
        attempt.ended = true;
        waiting.remove(attempt);
        if (prefilling.remove(attempt) || decoding.remove(attempt)) {
            usedBlocks -= attempt.heldBlocks;
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
                + ITERATION_MILLIS_PER_SEQUENCE * decoding.size()
                + prefillTokens * 1_000 / PREFILL_TOKENS_PER_SECOND;
        updateRates(prefillTokens, millis);
        long startEpoch = epoch;
        List<SimulatedAttempt> generating = new ArrayList<>(decoding);
        events.afterMillis(millis, () -> finishIteration(generating, startEpoch));
    }

    private void admit() {
        while (!waiting.isEmpty()) {
            SimulatedAttempt attempt = waiting.peekFirst();
            int blocks = neededBlocks(attempt);
            if (usedBlocks + blocks > declaration.memoryPieces() && usedBlocks > 0) {
                // An attempt that is larger than the whole KV cache is admitted only to an empty engine.
                return;
            }
            waiting.removeFirst();
            attempt.heldBlocks = blocks;
            usedBlocks += blocks;
            cache.setLimitBlocks(declaration.memoryPieces() - usedBlocks);
            if (attempt.remainingPrefillTokens > 0) {
                long cachedTokens = (long) cache.countHitsAndTouch(attempt.prefixHashes) * UpstreamState.BLOCK_TOKENS;
                // Also a prompt that is cached completely passes through the prefill.
                attempt.remainingPrefillTokens = Math.max(1, attempt.promptTokens - cachedTokens);
            }
            (attempt.remainingPrefillTokens > 0 ? prefilling : decoding).add(attempt);
        }
    }

    private static int neededBlocks(SimulatedAttempt attempt) {
        long tokens = attempt.promptTokens + (attempt.prefillOnly ? 0 : attempt.outputTokens);
        return (int) ((tokens + UpstreamState.BLOCK_TOKENS - 1) / UpstreamState.BLOCK_TOKENS);
    }

    private long processPrefillChunk() {
        long chunk = chunkTokens();
        long processed = 0;
        for (SimulatedAttempt attempt : prefilling) {
            long part = Math.min(attempt.remainingPrefillTokens, chunk - processed);
            attempt.remainingPrefillTokens -= part;
            processed += part;
            if (processed == chunk) {
                break;
            }
        }
        return processed;
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
        // Iterations with less than the smallest full chunk leave the prefill rate unchanged.
        if (prefillTokens >= DECODE_CHUNK_TOKENS) {
            prefillTokensPerSecond += RATE_SMOOTHING_FACTOR * (prefillTokens * 1_000 / millis - prefillTokensPerSecond);
        }
        decodeTokensPerSecondPerSequence += RATE_SMOOTHING_FACTOR * (1_000 / millis - decodeTokensPerSecondPerSequence);
    }

    private void finishIteration(List<SimulatedAttempt> generating, long startEpoch) {
        if (startEpoch != epoch) {
            return;
        }
        iterating = false;
        for (SimulatedAttempt attempt : generating) {
            if (!attempt.ended) {
                generateToken(attempt);
            }
        }
        for (SimulatedAttempt attempt : List.copyOf(prefilling)) {
            if (!attempt.ended && attempt.remainingPrefillTokens == 0) {
                finishPrefill(attempt);
            }
            if (down) {
                return;
            }
        }
        startIteration();
    }

    private void finishPrefill(SimulatedAttempt attempt) {
        if (attempt.traceRequest.crashes()) {
            onCrashingRequest.accept(attempt.traceRequest);
            return;
        }
        prefilling.remove(attempt);
        cache.store(attempt.prefixHashes);
        if (attempt.prefillOnly) {
            usedBlocks -= attempt.heldBlocks;
            attempt.end(AttemptEnd.Outcome.COMPLETED);
            return;
        }
        decoding.add(attempt);
        generateToken(attempt);
    }

    /** Reports the first token at once, then every eighth one and the rest at the end. */
    private void generateToken(SimulatedAttempt attempt) {
        attempt.generatedTokens++;
        boolean done = attempt.generatedTokens >= attempt.outputTokens;
        if (attempt.generatedTokens == 1) {
            attempt.listener.onTokens(1);
        } else if (attempt.generatedTokens % PROGRESS_INTERVAL_TOKENS == 0) {
            attempt.listener.onTokens(
                    attempt.generatedTokens == PROGRESS_INTERVAL_TOKENS
                            ? PROGRESS_INTERVAL_TOKENS - 1
                            : PROGRESS_INTERVAL_TOKENS);
        } else if (done) {
            long unreportedTokens = attempt.generatedTokens % PROGRESS_INTERVAL_TOKENS;
            attempt.listener.onTokens(
                    attempt.generatedTokens < PROGRESS_INTERVAL_TOKENS ? unreportedTokens - 1 : unreportedTokens);
        }
        if (done) {
            decoding.remove(attempt);
            usedBlocks -= attempt.heldBlocks;
            cache.setLimitBlocks(declaration.memoryPieces() - usedBlocks);
            attempt.end(AttemptEnd.Outcome.COMPLETED);
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
        lost.forEach(attempt -> attempt.end(AttemptEnd.Outcome.CRASHED));
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
        long pending = 0;
        for (SimulatedAttempt attempt : prefilling) {
            pending += attempt.remainingPrefillTokens;
        }
        for (SimulatedAttempt attempt : waiting) {
            pending += attempt.remainingPrefillTokens;
        }
        return pending;
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
                prefillTokensPerSecond,
                decodeTokensPerSecondPerSequence,
                role,
                changingRole,
                epoch);
    }
}
