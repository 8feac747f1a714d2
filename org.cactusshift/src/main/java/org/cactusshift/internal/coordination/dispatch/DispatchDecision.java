package org.cactusshift.internal.coordination.dispatch;

import java.util.Objects;
import java.util.Optional;
import org.cactusshift.id.AttemptId;
import org.cactusshift.id.RequestId;
import org.cactusshift.id.UpstreamId;

/** What is to be done with a request now. */
public sealed interface DispatchDecision {
    /**
     * Returns the request that the decision is about.
     *
     * @return the request
     */
    RequestId request();

    /**
     * Send the request, or the rest of it, to an upstream.
     *
     * @param request the request
     * @param attempt the new attempt
     * @param upstream the upstream
     * @param resume whether the tokens already delivered are sent along, so that the upstream goes on after them
     * @param expectedFirstTokenMillis the expected wait for the first token
     * @param prefill the engine that processes the prompt first and hands its KV cache over; empty when the upstream
     *     does both. When that engine fails, the upstream processes the prompt itself.
     */
    record Dispatch(
            RequestId request,
            AttemptId attempt,
            UpstreamId upstream,
            boolean resume,
            long expectedFirstTokenMillis,
            Optional<UpstreamId> prefill)
            implements DispatchDecision {
        /** Checks that no part is missing. */
        public Dispatch {
            Objects.requireNonNull(prefill, "prefill");
        }

        /**
         * Creates a dispatch to an upstream that does all the work.
         *
         * @param request the request
         * @param attempt the new attempt
         * @param upstream the upstream
         * @param resume whether the tokens already delivered are sent along
         * @param expectedFirstTokenMillis the expected wait for the first token
         */
        public Dispatch(
                RequestId request,
                AttemptId attempt,
                UpstreamId upstream,
                boolean resume,
                long expectedFirstTokenMillis) {
            this(request, attempt, upstream, resume, expectedFirstTokenMillis, Optional.empty());
        }
    }

    /**
     * Answer the caller that the request is given up.
     *
     * @param request the request
     * @param reason why
     * @param mayHaveRun whether an upstream may have run any part of it
     * @param retryAfterMillis when the caller may come back
     */
    record Refuse(RequestId request, Reason reason, boolean mayHaveRun, long retryAfterMillis)
            implements DispatchDecision {}

    /** Why a request is given up. */
    enum Reason {
        /** The queue is full. */
        QUEUE_FULL,
        /** The deadline can't be met or has passed. */
        DEADLINE,
        /** The client account is over its limit. */
        ACCOUNT_LIMIT,
        /** No upstream of the service takes work. */
        NO_UPSTREAM,
        /** The request crashed upstreams before. */
        QUARANTINED,
        /** The upstream was lost after dispatch and the request may not be sent again. */
        UPSTREAM_LOST,
        /** The retry budget is spent. */
        RETRY_BUDGET
    }
}
