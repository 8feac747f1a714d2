package org.cactusshift.pgm.demo;

import java.util.Optional;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.ServiceId;

/**
 * A call that a caller of the demo sends.
 *
 * @param atMillis the start of the call, in milliseconds after the start of the traffic
 * @param account the client account
 * @param service the model or plain service
 * @param prompt the text of the user message; empty for a plain service
 * @param maximumTokens the limit of output tokens, which a complete answer reaches; 0 for a plain service
 * @param streamed whether the response is streamed
 * @param paymentId the payment that the call requests as a payout; empty for a model call or a balance read
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
