package org.cactusshift.replay;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.Optional;

/** An event of a trace; each line after the header is one. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "event")
@JsonSubTypes({
    @JsonSubTypes.Type(value = TraceEvent.Request.class, name = "request"),
    @JsonSubTypes.Type(value = TraceEvent.Reclaim.class, name = "reclaim"),
    @JsonSubTypes.Type(value = TraceEvent.Withdraw.class, name = "withdraw"),
    @JsonSubTypes.Type(value = TraceEvent.ReportLag.class, name = "report_lag"),
    @JsonSubTypes.Type(value = TraceEvent.Crash.class, name = "crash")
})
public sealed interface TraceEvent {
    /**
     * Returns the time of the event.
     *
     * @return the time, in milliseconds since the start of the trace
     */
    long atMillis();

    /**
     * The arrival of a request.
     *
     * @param atMillis the time of the arrival, in milliseconds since the start of the trace
     * @param id the request id, unique in the trace
     * @param account the client account
     * @param service the service
     * @param kind the kind of request, by which results are grouped
     * @param promptTokens the number of prompt tokens; 0 for a plain service
     * @param outputTokens the number of tokens that the model generates; 0 for a plain service
     * @param maximumOutputTokens the caller's limit of the output tokens, which dispatchers get in place of {@code
     *     outputTokens}; 0 for a plain service
     * @param prefix the name of the prompt prefix that it shares with other requests; null when it shares none
     * @param sharedPieces the number of KV-cache blocks at the start of the prompt that belong to the shared prefix, of
     *     2,048 tokens each
     * @param serviceMillis the processing time at a plain service, in milliseconds; 0 for a model
     * @param timeoutMillis the time from the arrival to the deadline, in milliseconds
     * @param repeatable whether the request may run more than once
     * @param fingerprint the hash of account, service and body, by which requests that crash engines are recognized
     * @param crashes whether the request crashes each engine that runs it; ignored by plain services
     */
    @JsonInclude(JsonInclude.Include.NON_DEFAULT)
    record Request(
            long atMillis,
            String id,
            String account,
            String service,
            String kind,
            long promptTokens,
            long outputTokens,
            long maximumOutputTokens,
            String prefix,
            int sharedPieces,
            long serviceMillis,
            long timeoutMillis,
            boolean repeatable,
            long fingerprint,
            boolean crashes)
            implements TraceEvent {}

    /**
     * The platform reclaims the reclaimable upstreams of a failure domain.
     *
     * @param atMillis the time of the notice, in milliseconds since the start of the trace
     * @param failureDomain the id of the failure domain
     * @param noticeMillis the time from the notice to the loss, in milliseconds
     * @param backAfterMillis the time from the loss to the return of the upstreams, in milliseconds
     */
    record Reclaim(long atMillis, String failureDomain, long noticeMillis, long backAfterMillis)
            implements TraceEvent {}

    /**
     * An upstream is drained and removed for good.
     *
     * @param atMillis the time at which the drain starts, in milliseconds since the start of the trace
     * @param upstream the id of the upstream
     */
    record Withdraw(long atMillis, String upstream) implements TraceEvent {}

    /**
     * Load reports arrive with a higher lag.
     *
     * @param atMillis the start of the higher lag, in milliseconds since the start of the trace
     * @param lagMillis the age of a report on arrival, in milliseconds
     * @param untilMillis the end of the higher lag, in milliseconds since the start of the trace
     */
    record ReportLag(long atMillis, long lagMillis, long untilMillis) implements TraceEvent {}

    /**
     * An upstream crashes for another reason than a request.
     *
     * @param atMillis the time of the crash, in milliseconds since the start of the trace
     * @param upstream the id of the upstream
     * @param restartMillis the time from the crash to the restart, in milliseconds; empty for 15,000
     */
    @JsonInclude(JsonInclude.Include.NON_ABSENT)
    record Crash(long atMillis, String upstream, Optional<Long> restartMillis) implements TraceEvent {}
}
