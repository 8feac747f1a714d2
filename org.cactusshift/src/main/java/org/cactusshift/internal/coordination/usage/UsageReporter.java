package org.cactusshift.internal.coordination.usage;

import io.vavr.control.Either;
import org.cactusshift.errors.Failure;

/** Sends sealed windows to the interface that takes usage reports. */
public interface UsageReporter {
    /** What the interface made of a report. */
    enum Receipt {
        /** It has the window with these figures. */
        RECORDED,
        /** It has the window with other figures. */
        CONFLICT
    }

    /**
     * Sends a sealed window; blocks for a bounded time. Sending the same window again is harmless.
     *
     * @param window the window
     * @return the receipt, or the failure
     */
    Either<Failure, Receipt> report(SealedWindow window);
}
