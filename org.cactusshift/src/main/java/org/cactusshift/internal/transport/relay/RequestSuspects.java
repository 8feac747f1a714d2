package org.cactusshift.internal.transport.relay;

import java.util.List;
import java.util.Optional;
import org.cactusshift.internal.coordination.quarantine.CrashSuspect;
import org.cactusshift.internal.coordination.serving.ServingRequest;

/** What may crash an upstream by one request, and what its attempts show about that. */
final class RequestSuspects {
    private final RelayContext context;
    private final List<CrashSuspect> suspects;

    private RequestSuspects(RelayContext context, List<CrashSuspect> suspects) {
        this.context = context;
        this.suspects = suspects;
    }

    static RequestSuspects create(RelayContext context, ServingRequest request) {
        return new RequestSuspects(context, request.crashSuspects());
    }

    /** Returns a suspect whose requests are refused. */
    Optional<CrashSuspect> refused() {
        long now = nowMillis();
        return suspects.stream()
                .filter(suspect -> context.crashHistory().isRefused(suspect, now))
                .findFirst();
    }

    void onCompleted(UpstreamAttempt attempt) {
        long now = nowMillis();
        suspects.forEach(suspect -> context.crashHistory().onCompleted(suspect, attempt.sentAtMillis(), now));
    }

    /** Records an attempt that ended without a valid response, and checks whether its upstream has crashed. */
    void onLost(UpstreamAttempt attempt) {
        context.crashDetector().onAttemptLost(suspects, attempt.upstream().id(), attempt.sentAtMillis(), nowMillis());
        context.upstreamCheck().afterLostAttempt(attempt.upstream());
    }

    private long nowMillis() {
        return context.clock().monotonicMillis();
    }
}
