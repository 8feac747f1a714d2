package org.cactusshift.pgm.demo;

import java.util.Optional;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.ServiceId;

/**
 * A call that a caller of the demo sends.
 *
 * @param atMillis the time of the call after the start of the traffic
 * @param account the client account
 * @param service the model or plain service
 * @param prompt the text of the user message; empty for a plain service
 * @param maximumTokens the number of output tokens; 0 for a plain service
 * @param streamed whether the response is streamed
 * @param paymentId the payment that a call to a plain service orders; empty for a read
 * @param timeoutMillis the timeout, from the start of the call
 */
record DemoCall(
        long atMillis,
        AccountId account,
        ServiceId service,
        String prompt,
        int maximumTokens,
        boolean streamed,
        Optional<String> paymentId,
        long timeoutMillis) {
    boolean isModelCall() {
        return maximumTokens > 0;
    }
}
