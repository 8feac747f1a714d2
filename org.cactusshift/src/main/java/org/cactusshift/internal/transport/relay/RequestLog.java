package org.cactusshift.internal.transport.relay;

import java.util.Optional;
import java.util.stream.Collectors;
import org.cactusshift.id.RequestId;
import org.cactusshift.id.SoftwareVersion;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.serving.RequestKind;
import org.cactusshift.internal.coordination.serving.ServingRequest;

/** Logs and counts one request in progress. */
final class RequestLog {
    private final RelayContext context;
    private final ServingRequest request;
    private boolean usageCounted;

    RequestLog(RelayContext context, ServingRequest request) {
        this.context = context;
        this.request = request;
    }

    void taken(RequestOrigin origin, long remainingMillis, Optional<RequestId> resumedRequest) {
        context.log()
                .event("request.taken")
                .with("request", request.id().value())
                .with("account", request.account().value())
                .with("route", request.route().name())
                .with("service", request.service().value())
                .with("configVersion", origin.configVersion())
                .with("promptTokens", request.promptTokens())
                .with(
                        "promptParts",
                        request.prompt().stream()
                                .map(part -> Long.toHexString(part.id()))
                                .collect(Collectors.joining(",")))
                .with("remainingMillis", remainingMillis)
                .with("resumes", resumedRequest.map(RequestId::value).orElse("-"))
                .with("fromPeer", origin.isPeer())
                .with("fingerprint", Long.toHexString(request.fingerprint()))
                .write();
    }

    /** Counts the request for its client account, once, when a response shows that it was started. */
    void started(RequestOrigin origin) {
        if (!usageCounted && origin.account().isPresent()) {
            usageCounted = true;
            context.usageCounter().countStartedRequest(origin.account().get());
        }
    }

    void streamBegun(UpstreamId upstream, Optional<SoftwareVersion> version) {
        context.log()
                .event("stream.begun")
                .with("request", request.id().value())
                .with("upstream", upstream.value())
                .with("softwareVersion", version.map(SoftwareVersion::value).orElse("?"))
                .write();
    }

    void ended(String outcome, String reason, int sends, int runs) {
        RequestKind kind = request.route().kind();
        long tookMillis = context.clock().monotonicMillis() - request.arrivedAtMillis();
        if (kind != RequestKind.STREAM) {
            context.metrics().onFirstResponsePart(kind.name(), tookMillis);
        }
        context.metrics().onRequestEnded(kind.name(), outcome);
        context.log()
                .event("request.ended")
                .with("request", request.id().value())
                .with("outcome", outcome)
                .with("reason", reason)
                .with("sends", sends)
                .with("runs", runs)
                .with("tookMillis", tookMillis)
                .write();
    }
}
