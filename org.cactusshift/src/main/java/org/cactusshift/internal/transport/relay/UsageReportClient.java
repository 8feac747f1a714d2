package org.cactusshift.internal.transport.relay;

import io.vavr.control.Either;
import java.util.SortedMap;
import java.util.function.Consumer;
import org.cactusshift.errors.Failure;
import org.cactusshift.id.AccountId;

/** Sends usage reports to the platform. */
public interface UsageReportClient {
    /**
     * Encodes a report as the bytes that are sent; equal counts give equal bytes.
     *
     * @param window the usage window, as the number of windows since the Unix epoch
     * @param counts the requests by client account
     * @return the bytes
     */
    byte[] encode(long window, SortedMap<AccountId, Long> counts);

    /**
     * Sends a report.
     *
     * @param holder the holder of the usage duty; a report is not sent when it has lost the duty by then, which is a
     *     failure without effect
     * @param body the encoded report
     * @param receiver receives whether the report was accepted; false when it is superseded, as the platform has seen a
     *     newer holder of the duty
     */
    void report(DutyCaller holder, byte[] body, Consumer<Either<Failure, Boolean>> receiver);
}
