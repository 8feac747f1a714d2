package org.cactusshift.internal.transport.relay;

import io.vavr.control.Either;
import java.util.SortedMap;
import java.util.function.Consumer;
import org.cactusshift.errors.Failure;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.InstanceId;

/** Reports usage to the platform. */
public interface UsageReportClient {
    /**
     * Writes a report as the bytes that are sent, the same for the same counts.
     *
     * @param window the window
     * @param counts requests by client account
     * @return the bytes
     */
    byte[] body(long window, SortedMap<AccountId, Long> counts);

    /**
     * Sends a report.
     *
     * @param holder the node that holds the duty
     * @param fencingNumber the number of its authority
     * @param body the bytes of the report
     * @param receiver receives true when it was taken, false when a newer holder was seen
     */
    void report(InstanceId holder, long fencingNumber, byte[] body, Consumer<Either<Failure, Boolean>> receiver);
}
