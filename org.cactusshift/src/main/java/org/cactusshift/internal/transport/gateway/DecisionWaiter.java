package org.cactusshift.internal.transport.gateway;

import io.vavr.control.Either;
import java.util.Optional;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.configsync.VersionedConfig;
import org.cactusshift.internal.coordination.dispatch.DispatchDecision;
import org.cactusshift.internal.coordination.dispatch.DispatchTicket;

/**
 * Waits for the dispatch decisions on one request, until its {@link RequestMonitor} reports that the response is no
 * longer needed. Also finds the addresses of upstreams.
 */
final class DecisionWaiter {
    private static final long MONITOR_CHECK_INTERVAL_MILLIS = 50;

    private final GatewayRequest request;
    private final DispatchTicket ticket;
    private final RequestMonitor monitor;

    DecisionWaiter(GatewayRequest request, DispatchTicket ticket, RequestMonitor monitor) {
        this.request = request;
        this.ticket = ticket;
        this.monitor = monitor;
    }

    /**
     * Waits for the next decision.
     *
     * @param mayHaveRun whether an upstream may have run any part of the request in an earlier attempt
     * @return the attempt to send, or the refusal that ends the request
     */
    Either<Refusal, DispatchDecision.Dispatch> await(boolean mayHaveRun) {
        try {
            while (true) {
                Optional<DispatchDecision> decision = ticket.await(MONITOR_CHECK_INTERVAL_MILLIS);
                if (decision.isPresent()) {
                    return decision.get() instanceof DispatchDecision.Dispatch dispatch
                            ? Either.right(dispatch)
                            : Either.left(Refusal.of((DispatchDecision.Refuse) decision.get(), mayHaveRun));
                }
                if (!monitor.isResponseNeeded()) {
                    ticket.close();
                    return Either.left(monitor.refusal(mayHaveRun));
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            ticket.close();
            return Either.left(new Refusal(
                    Refusal.unavailable("shutting_down", "the node is shutting down")
                            .error(),
                    mayHaveRun,
                    0));
        }
    }

    /** Returns an upstream's address; empty when the active configuration no longer contains the upstream. */
    Optional<String> addressOf(UpstreamId upstream) {
        return request.dependencies()
                .config()
                .active()
                .map(VersionedConfig::config)
                .flatMap(site -> site.upstreams().stream()
                        .filter(config -> config.id().equals(upstream))
                        .findFirst())
                .map(UpstreamConfig::address);
    }
}
