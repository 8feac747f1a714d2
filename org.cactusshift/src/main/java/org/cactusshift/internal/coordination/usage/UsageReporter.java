package org.cactusshift.internal.coordination.usage;

import io.vavr.control.Either;
import org.cactusshift.errors.Failure;

/** Sends sealed windows to the usage interface, the service of the platform that records usage reports. */
public interface UsageReporter {
    /** The response of the usage interface to a report. */
    enum Receipt {
        /** The window is recorded with these counts. */
        RECORDED,
        /** The window was recorded before with different counts. */
        CONFLICT
    }

    /**
     * Sends a sealed window; blocks for a bounded time. Idempotent: the same window may be sent again.
     *
     * @param window the window
     * @return the receipt, or the failure
     */
    Either<Failure, Receipt> report(SealedWindow window);
}
