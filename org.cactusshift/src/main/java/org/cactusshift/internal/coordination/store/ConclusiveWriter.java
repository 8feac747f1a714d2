package org.cactusshift.internal.coordination.store;

import io.vavr.control.Either;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.IntConsumer;
import java.util.function.Supplier;
import org.cactusshift.errors.Failure;

/**
 * Writes by compare-and-swap and resolves whether a write whose response was lost took effect.
 *
 * <p>Each write carries a unique mark. After a lost response the key is read back:
 *
 * <ul>
 *   <li>the value carries the mark: the write was applied;
 *   <li>the key still has the revision that the write expects: the write may still arrive, so the same bytes are sent
 *       again, and whichever copy arrives second fails its comparison;
 *   <li>the key has another revision and the value does not carry the mark: the write can't be applied any more, and
 *       the marks of the later writes show whether it was applied before them, as far as they reach back; otherwise the
 *       outcome is unknown.
 * </ul>
 *
 * <p>Thread-safe.
 */
public final class ConclusiveWriter {
    private static final int DEFAULT_MAXIMUM_ATTEMPTS = 6;

    private static final long FIRST_PAUSE_MILLIS = 20;

    private final KeyValueStore store;

    private final Supplier<String> writerTokens;

    private final int maximumAttempts;

    private final IntConsumer pause;

    private ConclusiveWriter(
            KeyValueStore store, Supplier<String> writerTokens, int maximumAttempts, IntConsumer pause) {
        this.store = Objects.requireNonNull(store, "store");
        this.writerTokens = writerTokens;
        this.maximumAttempts = maximumAttempts;
        this.pause = pause;
    }

    /**
     * Creates a writer with random tokens and exponential back-off between attempts.
     *
     * @param store the store
     * @return the writer
     */
    public static ConclusiveWriter create(KeyValueStore store) {
        Supplier<String> tokens = () -> UUID.randomUUID().toString().replace("-", "");
        return create(store, tokens, DEFAULT_MAXIMUM_ATTEMPTS, ConclusiveWriter::sleep);
    }

    /**
     * Creates a writer.
     *
     * @param store the store
     * @param writerTokens supplies a token of letters and digits that is unique to each write
     * @param maximumAttempts the maximum number of attempts for each write
     * @param pause waits before a further attempt; its argument is the number of the retry, from 1
     * @return the writer
     */
    public static ConclusiveWriter create(
            KeyValueStore store, Supplier<String> writerTokens, int maximumAttempts, IntConsumer pause) {
        if (maximumAttempts < 1) {
            throw new IllegalArgumentException("maximum number of attempts is below 1");
        }
        return new ConclusiveWriter(store, writerTokens, maximumAttempts, pause);
    }

    /**
     * Replaces a value that was previously read.
     *
     * @param key the full key
     * @param replaced the value read; empty to create the key
     * @param payload the new payload, without envelope
     * @param lease the lease to attach, or {@link LeaseGrant#NONE}
     * @return the resolved outcome
     */
    public WriteResult write(String key, Optional<VersionedValue> replaced, byte[] payload, LeaseGrant lease) {
        long expected = replaced.map(VersionedValue::modRevision).orElse(0L);
        WriteMark mark = new WriteMark(writerTokens.get(), expected);
        byte[] value = ValueEnvelope.next(mark, replaced, payload).encode();
        return writeAndResolve(key, mark, () -> store.compareAndSwap(key, expected, value, lease));
    }

    /**
     * Reads, changes and writes a value, and starts again when another write was applied in between.
     *
     * @param key the full key
     * @param change returns the new payload for the current one, which is empty when the key is absent; an empty result
     *     leaves the key unchanged
     * @param lease the lease to attach, or {@link LeaseGrant#NONE}
     * @return the outcome of the last write; {@link WriteResult#isConflict()} when every attempt conflicted with
     *     another write, or when {@code change} left the key unchanged, which only the caller can tell apart
     */
    public WriteResult update(String key, Function<Optional<byte[]>, Optional<byte[]>> change, LeaseGrant lease) {
        WriteResult result = null;
        for (int attempt = 0; attempt < maximumAttempts; attempt++) {
            Either<Failure, Optional<VersionedValue>> current = store.get(key);
            if (current.isLeft()) {
                return WriteResult.failed(current.getLeft());
            }
            Optional<byte[]> payload = change.apply(current.get().map(ConclusiveWriter::payloadOf));
            if (payload.isEmpty()) {
                return WriteResult.conflict(current.get());
            }
            result = write(key, current.get(), payload.get(), lease);
            if (!result.isConflict()) {
                return result;
            }
        }
        return result;
    }

    /**
     * Deletes a value that was previously read.
     *
     * @param value the value read
     * @return the outcome; {@link WriteResult.Outcome#APPLIED} also when another deletion was applied first, then
     *     with the store's current revision
     */
    public WriteResult delete(VersionedValue value) {
        boolean maybeApplied = false;
        Failure failure = null;
        for (int attempt = 0; attempt < maximumAttempts; attempt++) {
            pauseBefore(attempt);
            Either<Failure, SwapResult> sent = store.compareAndDelete(value.key(), value.modRevision());
            if (sent.isRight()) {
                return resolveDeletion(value, sent.get());
            }
            failure = sent.getLeft();
            maybeApplied |= failure.kind() == Failure.Kind.UNKNOWN_EFFECT;
        }
        return unresolved(maybeApplied, failure);
    }

    /**
     * Returns the payload of a stored value.
     *
     * @param value the stored value
     * @return the payload; the whole value when it has no envelope
     */
    public static byte[] payloadOf(VersionedValue value) {
        return ValueEnvelope.decode(value.value()).map(ValueEnvelope::payload).orElse(value.value());
    }

    private WriteResult writeAndResolve(String key, WriteMark mark, Supplier<Either<Failure, SwapResult>> send) {
        boolean maybeApplied = false;
        Failure failure = null;
        for (int attempt = 0; attempt < maximumAttempts; attempt++) {
            pauseBefore(attempt);
            if (maybeApplied) {
                Either<Failure, Optional<VersionedValue>> readBack = store.get(key);
                if (readBack.isLeft()) {
                    failure = readBack.getLeft();
                    continue;
                }
                if (revisionOf(readBack.get()) != mark.baseRevision()) {
                    return resolve(mark, readBack.get());
                }
            }
            Either<Failure, SwapResult> sent = send.get();
            if (sent.isRight()) {
                return resolveResponse(mark, sent.get(), maybeApplied);
            }
            failure = sent.getLeft();
            if (failure.kind() == Failure.Kind.REJECTED) {
                break;
            }
            maybeApplied |= failure.kind() == Failure.Kind.UNKNOWN_EFFECT;
        }
        return unresolved(maybeApplied, failure);
    }

    private static WriteResult unresolved(boolean maybeApplied, Failure failure) {
        return maybeApplied ? WriteResult.unknown(Optional.empty(), Optional.of(failure)) : WriteResult.failed(failure);
    }

    private static WriteResult resolveResponse(WriteMark mark, SwapResult response, boolean maybeApplied) {
        if (response.isApplied()) {
            return WriteResult.applied(response.revision());
        }
        return maybeApplied ? resolve(mark, response.current()) : WriteResult.conflict(response.current());
    }

    /** Resolves the outcome from a value whose revision is not the one that the write expects. */
    private static WriteResult resolve(WriteMark mark, Optional<VersionedValue> current) {
        List<WriteMark> marks = current.flatMap(value -> ValueEnvelope.decode(value.value()))
                .map(ValueEnvelope::marks)
                .orElse(List.of());
        for (int i = 0; i < marks.size(); i++) {
            if (marks.get(i).writerToken().equals(mark.writerToken())) {
                return i == 0
                        ? WriteResult.applied(current.orElseThrow().modRevision())
                        : WriteResult.replaced(marks.get(i - 1).baseRevision(), current);
            }
            if (marks.get(i).baseRevision() == mark.baseRevision() && hasExistedSinceBase(mark, current)) {
                // Another write with the same base revision was applied, so this one was not and can't be.
                return WriteResult.conflict(current);
            }
        }
        // The key was deleted, or its marks do not reach back to this write.
        return WriteResult.unknown(current, Optional.empty());
    }

    /**
     * Returns whether the key has existed without interruption since the revision that the write expects.
     *
     * <p>Always false for a write that expects an absent key: the key may have been created and deleted in the
     * meantime, and may be again.
     */
    private static boolean hasExistedSinceBase(WriteMark mark, Optional<VersionedValue> current) {
        return mark.baseRevision() != 0 && current.orElseThrow().createRevision() <= mark.baseRevision();
    }

    private WriteResult resolveDeletion(VersionedValue value, SwapResult response) {
        if (response.isApplied()) {
            return WriteResult.applied(response.revision());
        }
        boolean deletedSince = response.current()
                .map(current -> current.createRevision() > value.modRevision())
                .orElse(true);
        return deletedSince ? WriteResult.applied(response.revision()) : WriteResult.conflict(response.current());
    }

    private void pauseBefore(int attempt) {
        if (attempt > 0) {
            pause.accept(attempt);
        }
    }

    private static long revisionOf(Optional<VersionedValue> value) {
        return value.map(VersionedValue::modRevision).orElse(0L);
    }

    private static void sleep(int attempt) {
        try {
            // Doubles at most five times, to 640 ms.
            TimeUnit.MILLISECONDS.sleep(FIRST_PAUSE_MILLIS << Math.min(attempt - 1, 5));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
