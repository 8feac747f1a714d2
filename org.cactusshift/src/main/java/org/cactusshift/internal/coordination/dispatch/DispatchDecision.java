package org.cactusshift.internal.coordination.dispatch;

import java.util.Objects;
import java.util.Optional;
import org.cactusshift.id.AttemptId;
import org.cactusshift.id.RequestId;
import org.cactusshift.id.UpstreamId;

/** A decision of a dispatcher about one request, to be carried out by the caller of the dispatcher. */
public sealed interface DispatchDecision {
    /**
     * Returns the request that the decision applies to.
     *
     * @return the request
     */
    RequestId request();

    /**
     * Sends the request, or its remaining part, to an upstream.
     *
     * @param request the request
     * @param attempt the new attempt
     * @param upstream the upstream
     * @param resume whether the tokens already delivered are sent along, so that the upstream continues after them
     * @param expectedFirstTokenMillis the expected time to first token
     * @param prefill the prefill engine, which processes the prompt and transfers its KV cache; empty when the
     *     upstream does both prefill and decode. If the prefill engine fails, the upstream processes the prompt itself.
     */
    record Dispatch(
            RequestId request,
            AttemptId attempt,
            UpstreamId upstream,
            boolean resume,
            long expectedFirstTokenMillis,
            Optional<UpstreamId> prefill)
            implements DispatchDecision {
        /** Rejects missing components. */
        public Dispatch {
            Objects.requireNonNull(prefill, "prefill");
        }

        /**
         * Creates a dispatch to an upstream that does both prefill and decode.
         *
         * @param request the request
         * @param attempt the new attempt
         * @param upstream the upstream
         * @param resume whether the tokens already delivered are sent along
         * @param expectedFirstTokenMillis the expected time to first token
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
     * Refuses the request: the caller receives a final error.
     *
     * @param request the request
     * @param reason why the request is refused
     * @param mayHaveRun whether an upstream may have run any part of it
     * @param retryAfterMillis the delay after which the caller may retry: at least 1 s, and at most 60 s unless the
     *     request is quarantined or the client account is over its limit
     */
    record Refuse(RequestId request, Reason reason, boolean mayHaveRun, long retryAfterMillis)
            implements DispatchDecision {}

    /** Why a request is refused. */
    enum Reason {
        /** The queue is full, or the request was displaced from it by one of another client account. */
        QUEUE_FULL,
        /** The deadline can't be met or has expired. */
        DEADLINE,
        /** The client account is over its limit. */
        ACCOUNT_LIMIT,
        /** The service has no upstream, or a suspect waited too long for a second working upstream. */
        NO_UPSTREAM,
        /**
         * The fingerprint of the request is quarantined because earlier attempts crashed upstreams, or the request is a
         * suspect and the service has fewer than two upstreams.
         */
        QUARANTINED,
        /**
         * The upstream was lost after dispatch, and the request is not repeatable, or a part of its response was
         * delivered and can't be resumed.
         */
        UPSTREAM_LOST,
        /** The retry budget is exhausted. */
        RETRY_BUDGET
    }
}
