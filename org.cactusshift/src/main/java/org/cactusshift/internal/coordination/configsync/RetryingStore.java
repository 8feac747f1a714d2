package org.cactusshift.internal.coordination.configsync;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.Arrays;
import java.util.Optional;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.store.KeyValueStore;
import org.cactusshift.internal.coordination.store.LeaseGrant;
import org.cactusshift.internal.coordination.store.SwapResult;
import org.cactusshift.internal.coordination.store.VersionedValue;

/** Reads and writes decoded store values; repeats a failed write up to {@link #MAXIMUM_ATTEMPTS} times in all. */
final class RetryingStore {
    private static final int MAXIMUM_ATTEMPTS = 3;

    private final KeyValueStore store;

    RetryingStore(KeyValueStore store) {
        this.store = store;
    }

    /** Reads and decodes a value. */
    <T> Either<Failure, Optional<T>> read(String key, Class<T> type) {
        return store.get(key)
                .flatMap(found -> found.isEmpty()
                        ? Either.right(Optional.empty())
                        : decode(found.get(), type).map(Optional::of));
    }

    /** Reads and decodes a value that must exist. */
    <T> Either<Failure, T> readRequired(String key, Class<T> type) {
        return read(key, type)
                .flatMap(found ->
                        found.<Either<Failure, T>>map(Either::right).orElseGet(() -> Either.left(missing(key))));
    }

    /**
     * Creates a key to which all writers write the same bytes; returns true, or the failure.
     *
     * <p>Repeats a failed call: as all attempts expect the key to be absent, at most one takes effect.
     */
    Either<Failure, Boolean> create(String key, byte[] value) {
        return compareAndSwap(key, 0, value).flatMap(result -> {
            boolean same = result.isApplied()
                    || result.current()
                            .filter(v -> Arrays.equals(v.value(), value))
                            .isPresent();
            return same
                    ? Either.right(true)
                    : Either.left(Failure.rejected("create " + key, "store", "the key exists with another value"));
        });
    }

    /**
     * Replaces a value by compare-and-swap; repeats the same call after any failure.
     *
     * <p>All attempts expect the same revision, so at most one takes effect, and a conflict proves that none can take
     * effect later. The caller detects by its token in the current value whether one of its own attempts caused the
     * conflict.
     */
    Either<Failure, SwapResult> compareAndSwap(String key, long expectedModRevision, byte[] value) {
        Either<Failure, SwapResult> result = Either.left(Failure.noEffect("write " + key, "store", "not sent"));
        boolean unknownEffect = false;
        for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS && result.isLeft(); attempt++) {
            result = store.compareAndSwap(key, expectedModRevision, value, LeaseGrant.NONE);
            unknownEffect |= result.isLeft() && result.getLeft().kind() == Failure.Kind.UNKNOWN_EFFECT;
        }
        if (result.isLeft() && unknownEffect) {
            Failure last = result.getLeft();
            return Either.left(Failure.unknownEffect(last.step(), last.peer(), last.message()));
        }
        return result;
    }

    /** Deletes a key that is no longer written; a failure only leaves an unused value in the store. */
    void delete(String key) {
        Either<Failure, Optional<VersionedValue>> found = store.get(key);
        if (found.isRight() && found.get().isPresent()) {
            store.compareAndDelete(key, found.get().get().modRevision());
        }
    }

    static <T> Either<Failure, T> decode(VersionedValue value, Class<T> type) {
        try {
            return Either.right(ConfigBundle.decode(value.value(), type));
        } catch (IOException e) {
            return Either.left(Failure.rejected("decode " + value.key(), "store", e.getMessage()));
        }
    }

    static Failure missing(String key) {
        return Failure.noEffect("read " + key, "store", "the key is absent");
    }
}
