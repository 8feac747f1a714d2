package org.cactusshift.internal.coordination.lease;

import io.vavr.control.Either;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.function.LongSupplier;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.store.KeyValueStore;
import org.cactusshift.internal.coordination.store.LeaseGrant;
import org.cactusshift.internal.coordination.store.SwapResult;
import org.cactusshift.internal.coordination.store.VersionedValue;

/**
 * Reads and writes a duty's durable record, the value under {@link DutyId#recordKey}, on behalf of one holder.
 *
 * <p>Opening the record writes the holder's fencing number into it. From then on every compare-and-swap of an earlier
 * holder fails, however late it arrives, because the revision that it expects has been replaced. A write whose response
 * was lost is resolved by reading the record back; while that is not possible its effect is unknown. The next write of
 * the same holder then finds out, even if the store applies the earlier write only in between.
 *
 * <p>Not thread-safe: the caller must write one value at a time.
 */
public final class FencedRecord {
    private static final String OPEN_STEP = "open duty record";
    private static final String WRITE_STEP = "write duty record";
    /**
     * Bounds the attempts to open, each of which another holder's write makes fail, and the attempts of one write, each
     * of which a lost request or a late earlier write of this holder makes fail.
     */
    private static final int MAXIMUM_ATTEMPTS = 4;

    private final KeyValueStore store;
    private final String key;
    private final AuthoritySource authorities;
    private final Authority authority;
    private final LongSupplier clockMillis;
    private final Set<String> unresolvedWriterTokens = new HashSet<>();
    private long lastKnownRevision;
    private FencedValue lastKnownValue = FencedValue.ABSENT;

    private FencedRecord(
            KeyValueStore store,
            String key,
            AuthoritySource authorities,
            Authority authority,
            LongSupplier clockMillis) {
        this.store = Objects.requireNonNull(store, "store");
        this.key = Objects.requireNonNull(key, "key");
        this.authorities = Objects.requireNonNull(authorities, "authorities");
        this.authority = Objects.requireNonNull(authority, "authority");
        this.clockMillis = Objects.requireNonNull(clockMillis, "clockMillis");
    }

    /**
     * Opens a record and takes it over from the previous holder.
     *
     * @param store the key-value store
     * @param key the record's key
     * @param authorities the source of the authority while the duty is held
     * @param authority the authority under which the record is opened
     * @param clockMillis the monotonic clock
     * @return the record, or the failure: {@link Failure.Kind#REJECTED} when a later holder wrote it or it is
     *     malformed, {@link Failure.Kind#UNKNOWN_EFFECT} when the write of the fencing number may still take effect
     */
    public static Either<Failure, FencedRecord> open(
            KeyValueStore store,
            String key,
            AuthoritySource authorities,
            Authority authority,
            LongSupplier clockMillis) {
        FencedRecord record = new FencedRecord(store, key, authorities, authority, clockMillis);
        Either<Failure, Long> opened = record.loadAndFence();
        for (int attempt = 1; attempt < MAXIMUM_ATTEMPTS && isRejected(opened); attempt++) {
            // Either another holder wrote after the read: if it was an earlier one, a new attempt succeeds. Or the read
            // found a later holder or a malformed record: a new attempt is rejected again.
            opened = record.loadAndFence();
        }
        return opened.map(ignored -> record);
    }

    private static boolean isRejected(Either<Failure, Long> opened) {
        return opened.isLeft() && opened.getLeft().kind() == Failure.Kind.REJECTED;
    }

    private Either<Failure, Long> loadAndFence() {
        return load().flatMap(ignored -> write(lastKnownValue.body()));
    }

    /**
     * Returns the body as last read or written.
     *
     * @return the body; no bytes when the record was never written
     */
    public byte[] body() {
        return lastKnownValue.body();
    }

    /**
     * Returns the fencing number of the authority under which the record was opened.
     *
     * @return the fencing number
     */
    public long fencingNumber() {
        return authority.fencingNumber();
    }

    /**
     * Replaces the body.
     *
     * @param body the new body
     * @return the revision of the write, or the failure: {@link Failure.Kind#REJECTED} when this holder was superseded
     *     and must open the record again, {@link Failure.Kind#UNKNOWN_EFFECT} when the write may still take effect,
     *     another kind when nothing was written
     */
    public Either<Failure, Long> write(byte[] body) {
        String writerToken = UUID.randomUUID().toString();
        FencedValue value = new FencedValue(authority.fencingNumber(), writerToken, body);
        for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
            if (!isHeld()) {
                return Either.left(notHeld(writerToken));
            }
            Either<Failure, SwapResult> swap =
                    store.compareAndSwap(key, lastKnownRevision, value.toBytes(), LeaseGrant.NONE);
            if (swap.isLeft() && swap.getLeft().kind() != Failure.Kind.UNKNOWN_EFFECT) {
                return Either.left(failed(swap.getLeft(), writerToken));
            }
            if (swap.isRight() && swap.get().isApplied()) {
                return Either.right(onWritten(value, swap.get().revision()));
            }
            if (swap.isLeft()) {
                unresolvedWriterTokens.add(writerToken);
            }
            Either<Failure, Optional<VersionedValue>> found =
                    swap.isRight() ? Either.right(swap.get().current()) : store.get(key);
            if (found.isLeft()) {
                return Either.left(unknown(found.getLeft().message()));
            }
            Either<Failure, Boolean> resolved = resolve(found.get(), value);
            if (resolved.isLeft()) {
                return Either.left(resolved.getLeft());
            }
            if (resolved.get()) {
                return Either.right(lastKnownRevision);
            }
        }
        return Either.left(
                unresolvedWriterTokens.contains(writerToken)
                        ? unknown("not known after " + MAXIMUM_ATTEMPTS + " attempts whether the write was applied")
                        : Failure.noEffect(WRITE_STEP, key, "not applied after " + MAXIMUM_ATTEMPTS + " attempts"));
    }

    /**
     * Returns whether the duty is still held under the fencing number with which the record was opened.
     *
     * @return false when the lease may have expired, or the duty was lost and acquired again
     */
    public boolean isHeld() {
        long nowMillis = clockMillis.getAsLong();
        return authorities
                .authority(authority.duty(), nowMillis)
                .filter(current -> current.fencingNumber() == authority.fencingNumber())
                .isPresent();
    }

    private Failure notHeld(String writerToken) {
        return failed(
                Failure.noEffect(WRITE_STEP, key, "the duty is no longer held under the fencing number of this record"),
                writerToken);
    }

    private Failure failed(Failure failure, String writerToken) {
        return unresolvedWriterTokens.contains(writerToken) ? unknown(failure.message()) : failure;
    }

    private Failure unknown(String message) {
        return Failure.unknownEffect(WRITE_STEP, key, message);
    }

    private long onWritten(FencedValue value, long revision) {
        lastKnownValue = value;
        lastKnownRevision = revision;
        unresolvedWriterTokens.clear();
        return revision;
    }

    /**
     * Compares the stored value with the writes of this holder. Returns true when the given value took effect, false
     * when it must be sent again, and a rejection when the value of another holder, a malformed one or none is stored.
     */
    private Either<Failure, Boolean> resolve(Optional<VersionedValue> found, FencedValue value) {
        long foundRevision = found.map(VersionedValue::modRevision).orElse(0L);
        // A malformed value, too, is treated as one that this holder did not write.
        FencedValue stored =
                found.flatMap(current -> FencedValue.fromBytes(current.value())).orElse(FencedValue.ABSENT);
        if (foundRevision != 0 && stored.writer().equals(value.writer())) {
            onWritten(value, foundRevision);
            return Either.right(true);
        }
        if (foundRevision == lastKnownRevision) {
            return Either.right(false);
        }
        if (unresolvedWriterTokens.remove(stored.writer())) {
            // An earlier write of this holder took effect late; the value is written over it.
            lastKnownValue = stored;
            lastKnownRevision = foundRevision;
            return Either.right(false);
        }
        return Either.left(Failure.rejected(
                WRITE_STEP,
                key,
                "the record was overwritten or deleted; its fencing number is " + stored.fencingNumber()
                        + " (0: absent or malformed)"));
    }

    /** Reads the stored value, if any; never returns false. */
    private Either<Failure, Boolean> load() {
        Either<Failure, Optional<VersionedValue>> found = store.get(key);
        if (found.isLeft()) {
            return Either.left(found.getLeft());
        }
        if (found.get().isEmpty()) {
            return Either.right(true);
        }
        Optional<FencedValue> stored = FencedValue.fromBytes(found.get().get().value());
        if (stored.isEmpty()) {
            return Either.left(Failure.rejected(
                    OPEN_STEP, key, "the record has no valid header of fencing number and writer token"));
        }
        if (stored.get().fencingNumber() > authority.fencingNumber()) {
            return Either.left(Failure.rejected(
                    OPEN_STEP,
                    key,
                    "the record belongs to a later holder with fencing number "
                            + stored.get().fencingNumber()));
        }
        lastKnownValue = stored.get();
        lastKnownRevision = found.get().get().modRevision();
        return Either.right(true);
    }
}
