package org.cactusshift.standin.engine;

import java.util.List;

/** A request in the batch or queue of an engine; guarded by the lock of its {@link EngineBatch}. */
final class Sequence {
    private final GenerateRequest request;

    private final long arrivalNumber;

    private final int blocks;

    private final List<Long> prefixHashes;

    private final boolean crashesEngine;

    /** The number of prompt tokens whose KV cache was fetched from another engine. */
    private final int fetchedTokens;

    State state = State.WAITING;

    /** The number of prompt tokens found in the prefix cache; fetched ones are not included. */
    int cachedTokens;

    int remainingPrefillTokens;

    int producedTokens;

    Sequence(GenerateRequest request, long arrivalNumber, int fetchedTokens, boolean crashesEngine) {
        this.request = request;
        this.arrivalNumber = arrivalNumber;
        this.fetchedTokens = fetchedTokens;
        this.crashesEngine = crashesEngine;
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

    /** Starts the prefill of the tokens that are neither cached nor fetched. */
    void begin(int cachedBlocks) {
        state = State.PREFILL;
        cachedTokens = Math.min(cachedBlocks * PrefixCache.BLOCK_TOKENS, request.promptTokens());
        int availableTokens = Math.max(cachedTokens, fetchedTokens);
        // The last prompt token is always processed, as its result is the first token of the answer.
        remainingPrefillTokens = Math.max(1, request.promptTokens() - availableTokens);
    }

    boolean isFinished() {
        return state == State.DONE || state == State.ABORTED;
    }

    /** The state of a sequence, from the queue to its end. */
    enum State {
        /** Queued, not yet in the batch. */
        WAITING,
        PREFILL,
        DECODING,
        /** All tokens were produced. */
        DONE,
        /** The sequence was ended early: by its caller, an order or a stop of the engine. */
        ABORTED
    }
}
