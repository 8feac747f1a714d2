package org.cactusshift.standin.engine;

import java.util.List;

/** One request in an engine; guarded by the lock of its {@link EngineBatch}. */
final class Sequence {
    private final GenerateRequest request;

    private final long arrivalNumber;

    private final int blocks;

    private final List<Long> prefixHashes;

    private final boolean crashesEngine;

    /** Prompt tokens whose KV cache comes from another engine. */
    private final int importedTokens;

    State state = State.WAITING;

    int cachedTokens;

    int remainingPrefillTokens;

    int producedTokens;

    Sequence(GenerateRequest request, long arrival, int importedTokens, boolean crashing) {
        this.request = request;
        this.arrivalNumber = arrival;
        this.importedTokens = importedTokens;
        this.crashesEngine = crashing;
        this.blocks = neededBlocks(request);
        this.prefixHashes = PrefixCache.prefixHashes(request.prompt());
        this.remainingPrefillTokens = request.promptTokens();
    }

    static int neededBlocks(GenerateRequest request) {
        int tokens = request.promptTokens() + request.outputTokens();
        return (tokens + PrefixCache.BLOCK_TOKENS - 1) / PrefixCache.BLOCK_TOKENS;
    }

    GenerateRequest request() {
        return request;
    }

    long arrivalNumber() {
        return arrivalNumber;
    }

    int blocks() {
        return blocks;
    }

    List<Long> prefixHashes() {
        return prefixHashes;
    }

    boolean crashesEngine() {
        return crashesEngine;
    }

    /** Starts the work on the prompt, less what is held already. */
    void begin(int cachedPieces) {
        state = State.PREFILL;
        cachedTokens = Math.min(cachedPieces * PrefixCache.BLOCK_TOKENS, request.promptTokens());
        int held = Math.max(cachedTokens, importedTokens);
        // At least the last token is processed, as it gives the first token of the answer.
        remainingPrefillTokens = Math.max(1, request.promptTokens() - held);
    }

    boolean isFinished() {
        return state == State.DONE || state == State.ABORTED;
    }

    /** Where a sequence stands. */
    enum State {
        WAITING,
        PREFILL,
        DECODING,
        DONE,
        ABORTED
    }
}
