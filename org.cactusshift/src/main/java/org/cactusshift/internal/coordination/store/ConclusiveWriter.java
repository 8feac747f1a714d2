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
 * Writes by compare-and-swap and finds out whether a write whose answer was lost took effect.
 *
 * <p>Each write carries a unique mark. After a lost answer the key is read back:
 *
 * <ul>
 *   <li>the mark is found: the write was applied;
 *   <li>the key still has the revision that the write expects: it may still arrive, so the same bytes are sent again,
 *       and whichever copy comes second fails its comparison;
 *   <li>the key has moved on without the mark: the write can't be applied any more, and the marks of the later writes
 *       tell whether it ever was.
 * </ul>
 *
 * <p>Safe for use by several threads.
 */
public final class ConclusiveWriter {
    private static final int DEFAULT_ATTEMPTS = 6;

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
     * Creates a writer with random tokens that waits longer before each further attempt.
     *
     * @param store the store
     * @return the writer
     */
    public static ConclusiveWriter create(KeyValueStore store) {
        Supplier<String> tokens = () -> UUID.randomUUID().toString().replace("-", "");
        return create(store, tokens, DEFAULT_ATTEMPTS, ConclusiveWriter::sleep);
    }

    /**
     * Creates a writer.
     *
     * @param store the store
     * @param writerTokens gives a token of letters and digits that is unique to each write
     * @param maximumAttempts how often each write is sent at most
     * @param pause waits before an attempt, of which it receives the number, from 1
     * @return the writer
     */
    public static ConclusiveWriter create(
            KeyValueStore store, Supplier<String> writerTokens, int maximumAttempts, IntConsumer pause) {
        if (maximumAttempts < 1) {
            throw new IllegalArgumentException("a write needs at least one attempt");
        }
        return new ConclusiveWriter(store, writerTokens, maximumAttempts, pause);
    }

    /**
     * Replaces a value that was read before.
     *
     * @param key the full key
     * @param replaced the value read; empty to create the key
     * @param payload the new payload, without envelope
     * @param lease the lease to attach, or {@link LeaseGrant#NONE}
     * @return the conclusion
     */
    public WriteResult write(String key, Optional<VersionedValue> replaced, byte[] payload, LeaseGrant lease) {
        long expected = replaced.map(VersionedValue::modRevision).orElse(0L);
        WriterMark mark = new WriterMark(writerTokens.get(), expected);
        byte[] value = ValueEnvelope.next(mark, replaced, payload).encode();
        return conclude(key, mark, () -> store.compareAndSwap(key, expected, value, lease));
    }

    /**
     * Reads a value, changes it and writes it, again from the start when another write comes first.
     *
     * @param key the full key
     * @param change gives the new payload from the present one, which is empty when the key is absent; empty to leave
     *     the key as it is
     * @param lease the lease to attach, or {@link LeaseGrant#NONE}
     * @return the conclusion about the last write; {@link WriteResult#isConflict()} when all attempts met other writes
     *     or the change left the key as it is
     */
    public WriteResult update(String key, Function<Optional<byte[]>, Optional<byte[]>> change, LeaseGrant lease) {
        WriteResult result = null;
        for (int attempt = 0; attempt < maximumAttempts; attempt++) {
            Either<Failure, Optional<VersionedValue>> present = store.get(key);
            if (present.isLeft()) {
                return WriteResult.failed(present.getLeft());
            }
            Optional<byte[]> payload = change.apply(present.get().map(ConclusiveWriter::payloadOf));
            if (payload.isEmpty()) {
                return WriteResult.conflict(present.get());
            }
            result = write(key, present.get(), payload.get(), lease);
            if (!result.isConflict()) {
                return result;
            }
        }
        return result;
    }

    /**
     * Deletes a value that was read before.
     *
     * @param value the value read
     * @return the conclusion; {@link WriteResult.Outcome#APPLIED} also when another deletion came first
     */
    public WriteResult delete(VersionedValue value) {
        boolean maybeApplied = false;
        Failure failure = null;
        for (int attempt = 0; attempt < maximumAttempts; attempt++) {
            pauseBefore(attempt);
            Either<Failure, SwapResult> sent = store.compareAndDelete(value.key(), value.modRevision());
            if (sent.isRight()) {
                return concludeDeletion(value, sent.get());
            }
            failure = sent.getLeft();
            maybeApplied |= failure.kind() == Failure.Kind.UNKNOWN_EFFECT;
        }
        return ended(maybeApplied, failure);
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

    private WriteResult conclude(String key, WriterMark mark, Supplier<Either<Failure, SwapResult>> send) {
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
                    return judge(mark, readBack.get());
                }
            }
            Either<Failure, SwapResult> sent = send.get();
            if (sent.isRight()) {
                return judgeAnswer(mark, sent.get(), maybeApplied);
            }
            failure = sent.getLeft();
            if (failure.kind() == Failure.Kind.REJECTED) {
                break;
            }
            maybeApplied |= failure.kind() == Failure.Kind.UNKNOWN_EFFECT;
        }
        return ended(maybeApplied, failure);
    }

    private static WriteResult ended(boolean maybeApplied, Failure failure) {
        return maybeApplied ? WriteResult.unknown(Optional.empty(), Optional.of(failure)) : WriteResult.failed(failure);
    }

    private static WriteResult judgeAnswer(WriterMark mark, SwapResult answer, boolean maybeApplied) {
        if (answer.isApplied()) {
            return WriteResult.applied(answer.revision());
        }
        return maybeApplied ? judge(mark, answer.current()) : WriteResult.conflict(answer.current());
    }

    /** Concludes from a value whose revision is not the one that the write expects. */
    private static WriteResult judge(WriterMark mark, Optional<VersionedValue> current) {
        List<WriterMark> marks = current.flatMap(value -> ValueEnvelope.decode(value.value()))
                .map(ValueEnvelope::marks)
                .orElse(List.of());
        for (int i = 0; i < marks.size(); i++) {
            if (marks.get(i).writerToken().equals(mark.writerToken())) {
                return i == 0
                        ? WriteResult.applied(current.orElseThrow().modRevision())
                        : WriteResult.replaced(marks.get(i - 1).baseRevision(), current);
            }
            if (marks.get(i).baseRevision() == mark.baseRevision() && isSameKey(mark, current)) {
                // Another write replaced the very value that this one was to replace.
                return WriteResult.conflict(current);
            }
        }
        // The key was deleted, or the marks do not reach back far enough.
        return WriteResult.unknown(current, Optional.empty());
    }

    /**
     * Tells whether the key has existed without a break since the write expected it to.
     *
     * <p>Never for a write that expects an absent key: the key may have come and gone, and may do so again.
     */
    private static boolean isSameKey(WriterMark mark, Optional<VersionedValue> current) {
        return mark.baseRevision() != 0 && current.orElseThrow().createRevision() <= mark.baseRevision();
    }

    private WriteResult concludeDeletion(VersionedValue value, SwapResult answer) {
        if (answer.isApplied()) {
            return WriteResult.applied(answer.revision());
        }
        boolean deletedSince = answer.current()
                .map(current -> current.createRevision() > value.modRevision())
                .orElse(true);
        return deletedSince ? WriteResult.applied(answer.revision()) : WriteResult.conflict(answer.current());
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
            TimeUnit.MILLISECONDS.sleep(FIRST_PAUSE_MILLIS << Math.min(attempt - 1, 5));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
