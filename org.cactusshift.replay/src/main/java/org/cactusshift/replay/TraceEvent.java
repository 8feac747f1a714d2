package org.cactusshift.replay;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.Optional;

/** A line of a trace after the header. */
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
     * @return milliseconds since the start of the trace
     */
    long atMillis();

    /**
     * A request of a caller.
     *
     * @param atMillis when it arrives
     * @param id the request, unique in the trace
     * @param account the client account
     * @param service the service
     * @param kind the kind of work, for the reader of the trace
     * @param promptTokens tokens of the prompt; 0 for a plain service
     * @param outputTokens tokens that the model generates
     * @param maximumOutputTokens the limit that the caller gives
     * @param prefix the name of the prompt's beginning that it shares with others; empty when it shares none
     * @param sharedPieces pieces of 2,048 tokens that it shares
     * @param serviceMillis the time that a plain service needs; 0 for a model
     * @param timeoutMillis the deadline after arrival
     * @param repeatable whether it may be sent again
     * @param fingerprint the hash of account, service and body
     * @param crashes whether it crashes each upstream that runs it
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
     * The platform takes the reclaimable upstreams of a failure domain.
     *
     * @param atMillis when the notice comes
     * @param failureDomain the failure domain
     * @param noticeMillis the time from the notice to the loss
     * @param backAfterMillis the time from the loss until the same upstreams are there again
     */
    record Reclaim(long atMillis, String failureDomain, long noticeMillis, long backAfterMillis)
            implements TraceEvent {}

    /**
     * An upstream is drained and taken away for good.
     *
     * @param atMillis when the drain starts
     * @param upstream the upstream
     */
    record Withdraw(long atMillis, String upstream) implements TraceEvent {}

    /**
     * Load reports lag more than usual.
     *
     * @param atMillis when it starts
     * @param lagMillis the age of a report when it arrives
     * @param untilMillis when the usual lag is back
     */
    record ReportLag(long atMillis, long lagMillis, long untilMillis) implements TraceEvent {}

    /**
     * An upstream crashes of itself.
     *
     * @param atMillis when
     * @param upstream the upstream
     * @param restartMillis the time until it serves again; empty for the usual
     */
    @JsonInclude(JsonInclude.Include.NON_ABSENT)
    record Crash(long atMillis, String upstream, Optional<Long> restartMillis) implements TraceEvent {}
}
