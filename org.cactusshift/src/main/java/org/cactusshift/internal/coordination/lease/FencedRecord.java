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
 * One holder's view of a duty's durable record.
 *
 * <p>Opening the record writes the holder's fencing number into it. From then on each compare-and-swap of every earlier
 * holder fails, however late it arrives, because the revision that it expects is gone. A write whose answer was lost is
 * resolved by reading back; while that is not possible its effect stays unknown, and the next write of the same holder
 * settles it, whichever of the two the store applies first.
 *
 * <p>Not thread-safe: the owner writes one value at a time.
 */
public final class FencedRecord {
    private static final String OPEN_STEP = "open duty record";
    private static final String WRITE_STEP = "write duty record";
    private static final int MAXIMUM_TRIES = 4;

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
     * Takes a record over from the previous holder.
     *
     * @param store the key-value service
     * @param key the record's key
     * @param authorities tells whether the duty is held still
     * @param authority the authority under which the record is opened
     * @param clockMillis the monotonic clock
     * @return the record, or the failure; {@link Failure.Kind#REJECTED} when a later holder wrote it
     */
    public static Either<Failure, FencedRecord> open(
            KeyValueStore store,
            String key,
            AuthoritySource authorities,
            Authority authority,
            LongSupplier clockMillis) {
        FencedRecord record = new FencedRecord(store, key, authorities, authority, clockMillis);
        Either<Failure, Long> opened = record.loadAndFence();
        for (int tries = 1; tries < MAXIMUM_TRIES && isSuperseded(opened); tries++) {
            // A predecessor wrote between the read and the write; the read tells whether it is a successor instead.
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
     * Returns the body last read or written.
     *
     * @return the body; empty when the record was never written
     */
    public byte[] body() {
        return last.body();
    }

    /**
     * Returns the fencing number under which this view writes.
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
     *     and must open the record anew, {@link Failure.Kind#UNKNOWN_EFFECT} when the write may yet take effect
     */
    public Either<Failure, Long> write(byte[] body) {
        String writer = UUID.randomUUID().toString();
        FencedValue value = new FencedValue(authority.fencingNumber(), writer, body);
        for (int tries = 0; tries < MAXIMUM_TRIES; tries++) {
            if (!isHeld()) {
                return Either.left(notHeld(writer));
            }
            Either<Failure, SwapResult> swap = store.compareAndSwap(key, modRevision, value.toBytes(), LeaseGrant.NONE);
            if (swap.isLeft() && swap.getLeft().kind() != Failure.Kind.UNKNOWN_EFFECT) {
                return Either.left(failed(swap.getLeft(), writer));
            }
            if (swap.isRight() && swap.get().isApplied()) {
                return Either.right(written(value, swap.get().revision()));
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
                        ? unknown("no conclusive answer")
                        : Failure.noEffect(WRITE_STEP, key, "no conclusive answer"));
    }

    /**
     * Tells whether the duty is held still, under the fencing number with which the record was opened.
     *
     * @return false when the lease may have ended, or the duty was lost and taken again
     */
    public boolean isHeld() {
        long nowMillis = clockMillis.getAsLong();
        return authorities
                .authority(authority.duty(), nowMillis)
                .filter(present -> present.fencingNumber() == authority.fencingNumber())
                .isPresent();
    }

    private Failure notHeld(String writer) {
        return failed(Failure.noEffect(WRITE_STEP, key, "the duty's lease may have ended"), writer);
    }

    private Failure failed(Failure failure, String writer) {
        return unresolvedWriters.contains(writer) ? unknown(failure.message()) : failure;
    }

    private Failure unknown(String message) {
        return Failure.unknownEffect(WRITE_STEP, key, message);
    }

    private long written(FencedValue value, long revision) {
        last = value;
        modRevision = revision;
        unresolvedWriters.clear();
        return revision;
    }

    /** Compares what is stored with what this holder wrote; true when the value in question took effect. */
    private Either<Failure, Boolean> resolve(Optional<VersionedValue> found, FencedValue value) {
        long foundRevision = found.map(VersionedValue::modRevision).orElse(0L);
        FencedValue stored =
                found.flatMap(present -> FencedValue.fromBytes(present.value())).orElse(FencedValue.ABSENT);
        if (foundRevision != 0 && stored.writer().equals(value.writer())) {
            written(value, foundRevision);
            return Either.right(true);
        }
        if (foundRevision == modRevision) {
            return Either.right(false);
        }
        if (unresolvedWriters.remove(stored.writer())) {
            // An earlier write of this holder took effect late; the value goes on top of it.
            last = stored;
            modRevision = foundRevision;
            return Either.right(false);
        }
        return Either.left(Failure.rejected(
                WRITE_STEP, key, "written by the holder with fencing number " + stored.fencingNumber()));
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
            return Either.left(Failure.rejected(OPEN_STEP, key, "the record has another form"));
        }
        if (stored.get().fencingNumber() > authority.fencingNumber()) {
            return Either.left(Failure.rejected(
                    OPEN_STEP, key, "held with fencing number " + stored.get().fencingNumber()));
        }
        last = stored.get();
        modRevision = found.get().get().modRevision();
        return Either.right(true);
    }
}
