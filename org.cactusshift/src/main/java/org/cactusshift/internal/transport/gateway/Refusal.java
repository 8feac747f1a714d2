package org.cactusshift.internal.transport.gateway;

import java.util.Locale;
import org.cactusshift.internal.coordination.dispatch.DispatchDecision;
import org.cactusshift.internal.protocol.openai.ApiError;

/**
 * The final response to a request that is not served.
 *
 * @param error the error that the caller receives
 * @param mayHaveRun whether an upstream may have run any part of the request
 * @param retryAfterMillis the time after which the caller may retry; 0 when none is given
 */
record Refusal(ApiError error, boolean mayHaveRun, long retryAfterMillis) {
    private static final long RETRY_AFTER_MILLIS = 1000;
    private static final String SERVER_ERROR = "server_error";

    /** Returns the refusal of a request that no upstream has received. */
    static Refusal of(ApiError error) {
        return new Refusal(error, false, 0);
    }

    /** Returns the refusal of a request that no upstream has received and that the caller may retry. */
    static Refusal unavailable(String code, String message) {
        return new Refusal(ApiError.of(503, SERVER_ERROR, code, message), false, RETRY_AFTER_MILLIS);
    }

    /** Returns the refusal of a request that an upstream may have run. */
    static Refusal upstreamLost(String message) {
        return new Refusal(ApiError.of(502, SERVER_ERROR, "upstream_lost", message), true, 0);
    }

    /** Returns the refusal of a request whose key was revoked, or can no longer be verified, while the request ran. */
    static Refusal keyNoLongerValid(boolean mayHaveRun) {
        ApiError error = ApiError.of(401, ApiError.INVALID_REQUEST, "invalid_api_key", "the key has been withdrawn");
        return new Refusal(error, mayHaveRun, 0);
    }

    static Refusal deadline(boolean mayHaveRun) {
        ApiError error = ApiError.of(
                mayHaveRun ? 504 : 503, SERVER_ERROR, "deadline_exceeded", "the deadline of the request has passed");
        return new Refusal(error, mayHaveRun, mayHaveRun ? 0 : RETRY_AFTER_MILLIS);
    }

    /**
     * Returns the refusal for a dispatch decision. The outcome is unknown when the dispatcher says that the request may
     * have run, or when an earlier attempt of this node may have run it.
     */
    static Refusal of(DispatchDecision.Refuse refuse, boolean earlierAttemptMayHaveRun) {
        boolean mayHaveRun = refuse.mayHaveRun() || earlierAttemptMayHaveRun;
        String code = refuse.reason().name().toLowerCase(Locale.ROOT);
        ApiError error =
                switch (refuse.reason()) {
                    case QUEUE_FULL -> ApiError.of(503, SERVER_ERROR, code, "too many requests are waiting");
                    case DEADLINE ->
                        ApiError.of(
                                mayHaveRun ? 504 : 503, SERVER_ERROR, "deadline_exceeded", "the deadline can't be met");
                    case ACCOUNT_LIMIT ->
                        ApiError.of(
                                429, "rate_limit_error", "rate_limit_exceeded", "the client account is over its limit");
                    case NO_UPSTREAM -> ApiError.of(503, SERVER_ERROR, code, "no upstream takes work now");
                    case QUARANTINED ->
                        ApiError.of(
                                422,
                                ApiError.INVALID_REQUEST,
                                code,
                                "the request has crashed upstreams and is not run again");
                    case UPSTREAM_LOST -> ApiError.of(502, SERVER_ERROR, code, "the upstream was lost");
                    case RETRY_BUDGET ->
                        ApiError.of(503, SERVER_ERROR, code, "the upstream was lost; no retry is left");
                };
        boolean needsRetryAfter = error.status() == 429 || error.status() == 503;
        long retryAfterMillis =
                needsRetryAfter && refuse.retryAfterMillis() <= 0 ? RETRY_AFTER_MILLIS : refuse.retryAfterMillis();
        return new Refusal(error, mayHaveRun, retryAfterMillis);
    }

    String outcome() {
        return mayHaveRun ? "unknown" : "not-run";
    }
}
