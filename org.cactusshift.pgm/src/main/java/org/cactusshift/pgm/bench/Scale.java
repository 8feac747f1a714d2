package org.cactusshift.pgm.bench;

import java.util.Arrays;
import java.util.List;

/** The size and the duration of the measurements. */
public enum Scale {
    /** The full sizes, whose fits are meaningful. */
    FULL(1),
    /** A hundredth of the full sizes, to show that every probe runs; the figures are meaningless. */
    TINY(100);

    private static final int MINIMUM_SIZE = 2;
    private static final int FULL_REPEATS = 200;
    private static final long MINIMUM_DURATION_MILLIS = 200;

    private final int divisor;

    Scale(int divisor) {
        this.divisor = divisor;
    }

    /** Returns the sizes to measure at; these and the given sizes at full scale are distinct and ascending. */
    List<Integer> sizes(Integer... fullSizes) {
        if (divisor == 1) {
            return Arrays.asList(fullSizes);
        }
        Integer[] sizes = new Integer[fullSizes.length];
        int previous = MINIMUM_SIZE - 1;
        for (int i = 0; i < fullSizes.length; i++) {
            previous = Math.max(previous + 1, fullSizes[i] / divisor);
            sizes[i] = previous;
        }
        return Arrays.asList(sizes);
    }

    /** Returns the duration of a measurement, in milliseconds, from that at full scale. */
    long durationMillis(long fullMillis) {
        return Math.max(MINIMUM_DURATION_MILLIS, fullMillis / divisor);
    }

    /** Returns the number of repetitions of a short operation. */
    int repeats() {
        return Math.max(1, FULL_REPEATS / divisor);
    }
}
