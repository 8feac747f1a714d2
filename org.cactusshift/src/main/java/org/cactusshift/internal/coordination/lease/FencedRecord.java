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
 * Reads and writes a duty's durable record on behalf of one holder.
 *
 * <p>Opening the record writes the holder's fencing number into it. From then on every compare-and-swap of an earlier
 * holder fails, however late it arrives, because the revision that it expects has been replaced. A write whose response
 * was lost is resolved by reading the record back; while that is not possible its effect is unknown, and the next write
 * of the same holder resolves it, whichever of the two the store applies first.
 *
 * <p>Not thread-safe: the caller must write one value at a time.
 */
public final class FencedRecord {
    private static final String OPEN_STEP = "open duty record";
    private static final String WRITE_STEP = "write duty record";
    private static final int MAXIMUM_ATTEMPTS = 4;

    private final KeyValueStore store;
    private final String key;
    private final AuthoritySource authorities;
    private final Authority authority;
    private final LongSupplier clockMillis;
    private final Set<String> unresolvedWriters = new HashSet<>();
    private long modRevision;
    private FencedValue last = FencedValue.ABSENT;

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
     * @param authorities returns the authority while the duty is held
     * @param authority the authority under which the record is opened
     * @param clockMillis the monotonic clock
     * @return the record, or the failure; {@link Failure.Kind#REJECTED} when a later holder wrote it or it is malformed
     */
    public static Either<Failure, FencedRecord> open(
            KeyValueStore store,
            String key,
            AuthoritySource authorities,
            Authority authority,
            LongSupplier clockMillis) {
        FencedRecord record = new FencedRecord(store, key, authorities, authority, clockMillis);
        Either<Failure, Long> opened = record.loadAndFence();
        for (int attempt = 1; attempt < MAXIMUM_ATTEMPTS && isSuperseded(opened); attempt++) {
            // Another holder wrote between the read and the write. If it was an earlier one, a new attempt succeeds;
            // if it was a later one, the read rejects the attempt by its fencing number.
            opened = record.loadAndFence();
        }
        return opened.map(ignored -> record);
    }

    private static boolean isSuperseded(Either<Failure, Long> opened) {
        return opened.isLeft() && opened.getLeft().kind() == Failure.Kind.REJECTED;
    }

    private Either<Failure, Long> loadAndFence() {
        return load().flatMap(ignored -> write(last.body()));
    }

    /**
     * Returns the body as last read or written.
     *
     * @return the body; no bytes when the record was never written
     */
    public byte[] body() {
        return last.body();
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
     *     and must open the record again, {@link Failure.Kind#UNKNOWN_EFFECT} when the write may still take effect
     */
    public Either<Failure, Long> write(byte[] body) {
        String writer = UUID.randomUUID().toString();
        FencedValue value = new FencedValue(authority.fencingNumber(), writer, body);
        for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
            if (!isHeld()) {
                return Either.left(notHeld(writer));
            }
            Either<Failure, SwapResult> swap = store.compareAndSwap(key, modRevision, value.toBytes(), LeaseGrant.NONE);
            if (swap.isLeft() && swap.getLeft().kind() != Failure.Kind.UNKNOWN_EFFECT) {
                return Either.left(failed(swap.getLeft(), writer));
            }
            if (swap.isRight() && swap.get().isApplied()) {
                return Either.right(recordWritten(value, swap.get().revision()));
            }
            if (swap.isLeft()) {
                unresolvedWriters.add(writer);
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
                return Either.right(modRevision);
            }
        }
        return Either.left(
                unresolvedWriters.contains(writer)
                        ? unknown("the effect of the write could not be resolved")
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

    private Failure notHeld(String writer) {
        return failed(Failure.noEffect(WRITE_STEP, key, "the lease of the duty may have expired"), writer);
    }

    private Failure failed(Failure failure, String writer) {
        return unresolvedWriters.contains(writer) ? unknown(failure.message()) : failure;
    }

    private Failure unknown(String message) {
        return Failure.unknownEffect(WRITE_STEP, key, message);
    }

    private long recordWritten(FencedValue value, long revision) {
        last = value;
        modRevision = revision;
        unresolvedWriters.clear();
        return revision;
    }

    /** Compares the stored value with the writes of this holder; returns true when the given value took effect. */
    private Either<Failure, Boolean> resolve(Optional<VersionedValue> found, FencedValue value) {
        long foundRevision = found.map(VersionedValue::modRevision).orElse(0L);
        FencedValue stored =
                found.flatMap(current -> FencedValue.fromBytes(current.value())).orElse(FencedValue.ABSENT);
        if (foundRevision != 0 && stored.writer().equals(value.writer())) {
            recordWritten(value, foundRevision);
            return Either.right(true);
        }
        if (foundRevision == modRevision) {
            return Either.right(false);
        }
        if (unresolvedWriters.remove(stored.writer())) {
            // An earlier write of this holder took effect late; the value is written over it.
            last = stored;
            modRevision = foundRevision;
            return Either.right(false);
        }
        return Either.left(Failure.rejected(
                WRITE_STEP,
                key,
                "the record was overwritten by the holder with fencing number " + stored.fencingNumber()));
    }

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
            return Either.left(Failure.rejected(OPEN_STEP, key, "the stored record is malformed"));
        }
        if (stored.get().fencingNumber() > authority.fencingNumber()) {
            return Either.left(Failure.rejected(
                    OPEN_STEP,
                    key,
                    "the record belongs to a later holder with fencing number "
                            + stored.get().fencingNumber()));
        }
        last = stored.get();
        modRevision = found.get().get().modRevision();
        return Either.right(true);
    }
}
