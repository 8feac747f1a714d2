package org.cactusshift.pgm.demo;

import java.util.Optional;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.ServiceId;

/**
 * One call that a caller of the demo makes.
 *
 * @param atMillis when, from the start of the traffic
 * @param account the client account
 * @param service the model or plain service
 * @param prompt the text of the user message; empty for a plain service
 * @param maximumTokens how many tokens the answer has; 0 for a plain service
 * @param streamed whether the answer is streamed
 * @param paymentId the payment that a plain call makes; empty for a read
 * @param timeoutMillis the deadline, from the start of the call
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
