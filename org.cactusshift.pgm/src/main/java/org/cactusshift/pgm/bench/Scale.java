package org.cactusshift.pgm.bench;

import java.util.Arrays;
import java.util.List;

/** How large and how long the measurements are. */
public enum Scale {
    /** The sizes from which the slopes are taken. */
    FULL(1),
    /** A hundredth of them, which shows that every part runs and gives no figures of worth. */
    TINY(100);

    private static final int MINIMUM_SIZE = 2;
    private static final int FULL_REPEATS = 200;
    private static final long MINIMUM_MILLIS = 200;

    private final int divisor;

    Scale(int divisor) {
        this.divisor = divisor;
    }

    /** Returns the sizes to measure at, distinct and growing. */
    List<Integer> sizes(Integer... full) {
        if (divisor == 1) {
            return Arrays.asList(full);
        }
        Integer[] sizes = new Integer[full.length];
        int previous = MINIMUM_SIZE - 1;
        for (int i = 0; i < full.length; i++) {
            previous = Math.max(previous + 1, full[i] / divisor);
            sizes[i] = previous;
        }
        return Arrays.asList(sizes);
    }

    /** Returns how long to watch something that runs. */
    long millis(long full) {
        return Math.max(MINIMUM_MILLIS, full / divisor);
    }

    /** Returns how often to repeat something brief. */
    int repeats() {
        return Math.max(1, FULL_REPEATS / divisor);
    }
}
