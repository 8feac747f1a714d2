package org.cactusshift.internal.transport.gateway;

import io.vavr.control.Either;
import java.util.Optional;
import org.cactusshift.internal.protocol.openai.ApiError;
import org.cactusshift.internal.transport.http.HttpExchange;

/**
 * The time by which a request must be answered.
 *
 * @param atMillis the time, on the monotonic clock
 * @param setByCaller whether the caller set it; a response that has started is cut only at such a deadline
 */
record Deadline(long atMillis, boolean setByCaller) {
    private static final long MAXIMUM_TIMEOUT_MILLIS = 24L * 60 * 60 * 1000;
    /** Keeps the number within a long. */
    private static final int MAXIMUM_TIMEOUT_DIGITS = 10;

    static Either<Refusal, Deadline> of(HttpExchange exchange, long nowMillis, long defaultTimeoutMillis) {
        Optional<String> header = exchange.header(GatewayHeaders.TIMEOUT_MILLIS);
        if (header.isEmpty()) {
            return Either.right(new Deadline(nowMillis + defaultTimeoutMillis, false));
        }
        String text = header.get().trim();
        if (text.isEmpty()
                || text.length() > MAXIMUM_TIMEOUT_DIGITS
                || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            return Either.left(invalid());
        }
        long timeoutMillis = Long.parseLong(text);
        if (timeoutMillis < 1 || timeoutMillis > MAXIMUM_TIMEOUT_MILLIS) {
            return Either.left(invalid());
        }
        return Either.right(new Deadline(nowMillis + timeoutMillis, true));
    }

    private static Refusal invalid() {
        return Refusal.of(ApiError.badRequest(
                GatewayHeaders.TIMEOUT_MILLIS,
                GatewayHeaders.TIMEOUT_MILLIS + " must be a whole number of milliseconds from 1 to "
                        + MAXIMUM_TIMEOUT_MILLIS));
    }
}
