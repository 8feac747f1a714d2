package org.cactusshift.internal.coordination.serving;

import java.util.Arrays;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;

/**
 * The usage reports that were sealed in the store, as this node knows them, so that a window is reported with the same
 * bytes even if the store was restored from a copy without the seal.
 *
 * <p>Not thread-safe.
 */
public final class SealedWindows {
    private final TreeMap<Long, Seal> sealByWindow = new TreeMap<>();
    private final TreeMap<Long, byte[]> attemptByWindow = new TreeMap<>();
    private final Set<Long> conflictingWindows = new HashSet<>();

    /**
     * A seal.
     *
     * @param body the sealed report
     * @param era the newest era in which the store has held it
     * @param knownSinceMillis the wall-clock time since which this node has known it as held in that era
     */
    private record Seal(byte[] body, long era, long knownSinceMillis) {}

    private SealedWindows() {}

    /**
     * Returns an empty memory.
     *
     * @return the memory
     */
    public static SealedWindows create() {
        return new SealedWindows();
    }

    /**
     * Returns the bytes with which a window is to be sealed: those of the last attempt if there was one, as that write
     * may still take effect.
     *
     * @param window the window
     * @param body the bytes of a first attempt
     * @return the bytes
     */
    public byte[] attempt(long window, byte[] body) {
        byte[] earlier = attemptByWindow.putIfAbsent(window, body);
        return earlier == null ? body : earlier;
    }

    /**
     * Records a seal that the store holds.
     *
     * @param window the window
     * @param body the sealed report
     * @param era the era of the store
     * @param epochMillis the wall-clock time
     * @return false if another report is known to have been sealed in an earlier era and may have been sent, so that
     *     neither must be sent any more
     */
    public boolean onSealed(long window, byte[] body, long era, long epochMillis) {
        Seal known = sealByWindow.get(window);
        if (known != null && !Arrays.equals(known.body(), body)) {
            conflictingWindows.add(window);
            return false;
        }
        if (known == null || known.era() < era) {
            sealByWindow.put(window, new Seal(body, era, epochMillis));
        }
        return true;
    }

    /**
     * Returns the sealed report of a window, whether or not the store still holds it.
     *
     * @param window the window
     * @return the bytes, empty when no seal is known
     */
    public Optional<byte[]> find(long window) {
        return Optional.ofNullable(sealByWindow.get(window)).map(Seal::body);
    }

    /**
     * Returns whether the store may have lost the seal of a window.
     *
     * @param window the window
     * @param era the era of the store
     * @return whether a seal is known, but not as held in that era
     */
    public boolean isLost(long window, long era) {
        Seal seal = sealByWindow.get(window);
        return seal != null && seal.era() < era && !conflictingWindows.contains(window);
    }

    /**
     * Returns how long this node has known that the store holds the seal of a window.
     *
     * @param window the window
     * @param era the era of the store
     * @param epochMillis the wall-clock time
     * @return the time in milliseconds, empty when the window must not be sent
     */
    public OptionalLong heldForMillis(long window, long era, long epochMillis) {
        Seal seal = sealByWindow.get(window);
        if (seal == null || seal.era() != era || conflictingWindows.contains(window)) {
            return OptionalLong.empty();
        }
        // The wall clock may be set back.
        return OptionalLong.of(Math.abs(epochMillis - seal.knownSinceMillis()));
    }

    /**
     * Returns whether two different reports of a window were sealed, in two eras.
     *
     * @param window the window
     * @return whether it must not be reported any more
     */
    public boolean isConflicting(long window) {
        return conflictingWindows.contains(window);
    }

    /**
     * Forgets windows that are no longer reported.
     *
     * @param oldestWindow the oldest window that still is
     */
    public void forgetBefore(long oldestWindow) {
        sealByWindow.headMap(oldestWindow).clear();
        attemptByWindow.headMap(oldestWindow).clear();
        conflictingWindows.removeIf(window -> window < oldestWindow);
    }
}
