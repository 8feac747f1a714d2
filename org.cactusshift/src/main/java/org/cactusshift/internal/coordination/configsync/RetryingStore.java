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

/** Store calls whose lost answers are resolved. */
final class RetryingStore {
    private static final int ATTEMPTS = 3;

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
     * Writes bytes to a key that nobody writes with other bytes.
     *
     * <p>Repeats after a lost answer: as all attempts expect the key to be absent, at most one takes effect.
     */
    Either<Failure, Boolean> create(String key, byte[] value) {
        return swap(key, 0, value).flatMap(result -> {
            boolean same = result.isApplied()
                    || result.current()
                            .filter(v -> Arrays.equals(v.value(), value))
                            .isPresent();
            return same
                    ? Either.right(true)
                    : Either.left(Failure.rejected("create " + key, "store", "the key holds another value"));
        });
    }

    /**
     * Swaps a value, repeating the same swap after a lost answer.
     *
     * <p>All attempts expect the same revision, so at most one takes effect, and a conflict proves that none can take
     * effect later. The caller tells from its token in the current value whether its own attempt caused the conflict.
     */
    Either<Failure, SwapResult> swap(String key, long expectedModRevision, byte[] value) {
        Either<Failure, SwapResult> answer = Either.left(Failure.noEffect("write " + key, "store", "not sent"));
        boolean unknown = false;
        for (int attempt = 0; attempt < ATTEMPTS && answer.isLeft(); attempt++) {
            answer = store.compareAndSwap(key, expectedModRevision, value, LeaseGrant.NONE);
            unknown |= answer.isLeft() && answer.getLeft().kind() == Failure.Kind.UNKNOWN_EFFECT;
        }
        if (answer.isLeft() && unknown) {
            Failure last = answer.getLeft();
            return Either.left(Failure.unknownEffect(last.step(), last.peer(), last.message()));
        }
        return answer;
    }

    /** Deletes a key that nobody writes any more; a failure only leaves it for a later sweep. */
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
