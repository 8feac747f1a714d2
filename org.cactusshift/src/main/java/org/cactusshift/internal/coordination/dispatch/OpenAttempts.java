package org.cactusshift.internal.coordination.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cactusshift.id.AttemptId;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.routing.OutputDeadline;
import org.cactusshift.internal.coordination.routing.RouteQuery;
import org.cactusshift.internal.coordination.routing.RoutingDecision;
import org.cactusshift.internal.coordination.routing.UpstreamHealth;
import org.cactusshift.internal.coordination.routing.UpstreamState;

/** The open attempts of a dispatcher, which it counts as load of their upstreams. */
final class OpenAttempts {
    private final IncarnationId incarnation;
    private final Map<AttemptId, Attempt> attemptById = new HashMap<>();
    private long nextAttempt;

    OpenAttempts(IncarnationId incarnation) {
        this.incarnation = incarnation;
    }

    /** Adds an attempt to the load of its upstreams; returns its id. */
    AttemptId open(
            PendingRequest pending,
            RoutingDecision route,
            RouteQuery query,
            long uncachedTokens,
            boolean alone,
            long nowMillis) {
        UpstreamState upstream = route.upstream();
        boolean probe = upstream.health().state(nowMillis) == UpstreamHealth.State.PROBE_DUE;
        if (probe) {
            upstream.health().onProbe();
        }
        UpstreamState prefillEngine = route.prefill().orElse(upstream);
        prefillEngine.onSend(uncachedTokens, prefillEngine == upstream ? query.requiredBlocks() : 0, nowMillis);
        if (prefillEngine != upstream) {
            upstream.onSend(0, query.requiredBlocks(), nowMillis);
        }
        OutputDeadline deadline =
                OutputDeadline.create(pending.request.deadlineMillis(), pending.remainingOutputTokens());
        upstream.add(deadline);
        AttemptId id = AttemptId.fromString(incarnation.value() + "-" + Long.toString(nextAttempt++, 36));
        attemptById.put(
                id,
                new Attempt(
                        pending, upstream, route.prefill(), nowMillis, query.requiredBlocks(), deadline, probe, alone));
        return id;
    }

    Optional<Attempt> find(AttemptId id) {
        return Optional.ofNullable(attemptById.get(id));
    }

    /** Removes an attempt from the load of its upstreams. */
    void close(AttemptId id, long nowMillis) {
        Attempt closed = attemptById.remove(id);
        closed.upstream.onEnd(closed.requiredBlocks, nowMillis);
        closed.upstream.remove(closed.outputDeadline);
        closed.prefillEngine.ifPresent(engine -> engine.onEnd(0, nowMillis));
    }

    /** Returns the number of attempts that use an upstream for prefill or decode. */
    int count(UpstreamId upstream) {
        return (int) attemptById.values().stream()
                .filter(attempt -> attempt.uses(upstream))
                .count();
    }
}
