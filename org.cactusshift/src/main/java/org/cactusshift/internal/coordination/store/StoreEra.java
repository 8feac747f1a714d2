package org.cactusshift.internal.coordination.store;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.LongConsumer;

/**
 * Tracks the era that a store states in its answers, and decides which answers may be used. The era rises when the
 * store comes back from an older copy: what it acknowledged since that copy was taken is lost, leases included, and
 * revisions and lease ids are given out again.
 *
 * <p>Not thread-safe.
 */
public final class StoreEra {
    private long current;

    /** Whether any answer was seen; before, a call may be answered in any era. */
    private boolean known;

    private LongConsumer riseListener = formerEra -> {};

    /** Which answers a call may use. */
    public enum Use {
        /** A read that begins with this call: an answer of a newer era than that of the call shows the new state. */
        ANY_NEWER_ERA,
        /** A call that relies on revisions or leases of its own era. */
        SAME_ERA
    }

    private StoreEra() {}

    /**
     * Returns a tracker that has seen no answer.
     *
     * @return the tracker
     */
    public static StoreEra create() {
        return new StoreEra();
    }

    /**
     * Sets the listener that is called with the former era when an answer shows that the era has risen, before the
     * receiver of that answer is called.
     *
     * @param listener the listener
     */
    public void setRiseListener(LongConsumer listener) {
        riseListener = listener;
    }

    /**
     * Returns the newest era that an answer has stated.
     *
     * @return the era, 0 while none has stated one
     */
    public long current() {
        return current;
    }

    /**
     * Decides whether an answer may be used.
     *
     * @param stated the era that the answer states, empty when it states none
     * @param sentEra the value of {@link #current()} when the call was sent
     * @param use which answers the call may use
     * @return the era of the answer, or why the answer must not be used
     */
    public Either<String, Long> onAnswer(Optional<String> stated, long sentEra, Use use) {
        boolean wasKnown = known;
        if (stated.isPresent()) {
            Optional<Long> era = parse(stated.get());
            if (era.isEmpty()) {
                return Either.left("malformed era " + stated.get());
            }
            if (era.get() < current) {
                return Either.left("an answer of era " + era.get() + ", before " + current);
            }
            known = true;
            if (era.get() > current) {
                long former = current;
                current = era.get();
                if (wasKnown) {
                    riseListener.accept(former);
                }
            }
        } else {
            known = true;
        }
        boolean isSame = sentEra == current || !wasKnown;
        return isSame || use == Use.ANY_NEWER_ERA
                ? Either.right(current)
                : Either.left("the store was restored since the call, era " + current + " after " + sentEra);
    }

    private static Optional<Long> parse(String text) {
        try {
            long era = Long.parseLong(text.trim());
            return era < 0 ? Optional.empty() : Optional.of(era);
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
