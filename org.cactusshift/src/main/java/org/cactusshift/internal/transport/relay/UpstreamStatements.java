package org.cactusshift.internal.transport.relay;

import java.util.OptionalDouble;
import org.cactusshift.internal.coordination.limits.UpstreamRequestLimits;
import org.cactusshift.internal.coordination.serving.Upstream;

/** Records what upstreams state about themselves in responses: load, slowdown, request limit, rest and leaving. */
final class UpstreamStatements {
    private final RelayContext context;
    private final Upstream upstream;

    /** The id of the request, for the log. */
    private final String request;

    UpstreamStatements(RelayContext context, Upstream upstream, String request) {
        this.context = context;
        this.upstream = upstream;
        this.request = request;
    }

    /** Records what a response states; that of another upstream, which now listens at the address, is ignored. */
    void record(ResponseMetadata metadata, long sentAtMillis, long nowMillis) {
        if (metadata.misdirected()) {
            return;
        }
        metadata.load().ifPresent(load -> {
            upstream.onLoad(load.running(), load.waiting(), nowMillis);
            load.workTimePercent().ifPresent(percent -> upstream.performance().onStated(percent, nowMillis));
        });
        recordRequestLimit(metadata, sentAtMillis, nowMillis);
        recordRest(metadata.rest(), nowMillis);
        if (metadata.leaving() && !upstream.isLeaving()) {
            upstream.markLeaving();
            event("upstream.statesLeaving").write();
        }
    }

    private void recordRequestLimit(ResponseMetadata metadata, long sentAtMillis, long nowMillis) {
        OptionalDouble limit = metadata.requestsPerSecondLimit();
        UpstreamRequestLimits.Change change =
                context.upstreamLimits().onResponse(upstream.incarnation(), limit, sentAtMillis, nowMillis);
        if (change != UpstreamRequestLimits.Change.NONE) {
            event("upstream.limit")
                    .with("change", change)
                    .with("perSecond", limit.isPresent() ? limit.getAsDouble() : "-")
                    .write();
        }
    }

    private void recordRest(ResponseMetadata.RequestedRest rest, long nowMillis) {
        if (rest.millis() > 0) {
            upstream.rest().onAsked(rest.millis(), nowMillis);
        }
        if (rest.millis() > 0 || rest.malformed().isPresent()) {
            event("upstream.rest")
                    .with("restMillis", rest.millis())
                    .with("malformed", rest.malformed().orElse("-"))
                    .write();
        }
    }

    private EventLog.Entry event(String name) {
        return context.log()
                .event(name)
                .with("request", request)
                .with("upstream", upstream.id().value());
    }
}
