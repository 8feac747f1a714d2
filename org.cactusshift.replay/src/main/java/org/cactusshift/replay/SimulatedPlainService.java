package org.cactusshift.replay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.internal.coordination.dispatch.AttemptEnd;
import org.cactusshift.internal.coordination.dispatch.EngineLoad;

/** Simulates an instance of a plain service with a fixed number of workers. */
final class SimulatedPlainService implements SimulatedUpstream {
    /** The number of requests that an instance processes at the same time; {@link OracleRouting} assumes it too. */
    private static final int WORKERS = 4;

    private final TraceUpstream declaration;
    private final EventQueue events;
    private final ArrayDeque<SimulatedAttempt> waiting = new ArrayDeque<>();
    private final List<SimulatedAttempt> running = new ArrayList<>();
    private boolean down;
    /** The number of the incarnation; raised by a crash. */
    private long epoch = 1;

    SimulatedPlainService(TraceUpstream declaration, EventQueue events) {
        this.declaration = declaration;
        this.events = events;
    }

    @Override
    public TraceUpstream declaration() {
        return declaration;
    }

    @Override
    public void accept(SimulatedAttempt attempt) {
        if (down) {
            attempt.end(AttemptEnd.Outcome.NOT_SENT);
            return;
        }
        waiting.addLast(attempt);
        startQueuedAttempts();
    }

    private void startQueuedAttempts() {
        while (running.size() < WORKERS && !waiting.isEmpty()) {
            SimulatedAttempt attempt = waiting.removeFirst();
            running.add(attempt);
            long startEpoch = epoch;
            events.afterMillis(attempt.traceRequest.serviceMillis(), () -> finish(attempt, startEpoch));
        }
    }

    private void finish(SimulatedAttempt attempt, long startEpoch) {
        if (startEpoch == epoch && running.remove(attempt)) {
            attempt.end(AttemptEnd.Outcome.COMPLETED);
            startQueuedAttempts();
        }
    }

    @Override
    public void cancel(SimulatedAttempt attempt) {
        waiting.remove(attempt);
        running.remove(attempt);
        attempt.ended = true;
        startQueuedAttempts();
    }

    @Override
    public void crash() {
        down = true;
        epoch++;
        List<SimulatedAttempt> lost = new ArrayList<>(running);
        lost.addAll(waiting);
        running.clear();
        waiting.clear();
        lost.forEach(attempt -> attempt.end(AttemptEnd.Outcome.CRASHED));
    }

    @Override
    public void restart() {
        down = false;
    }

    @Override
    public boolean isDown() {
        return down;
    }

    @Override
    public EngineLoad load() {
        return new EngineLoad(
                events.nowMillis(),
                running.size(),
                waiting.size(),
                // No queued prompt tokens, no KV cache, and unknown token rates.
                0,
                0,
                0,
                0,
                0,
                UpstreamConfig.Role.MIXED,
                false,
                epoch);
    }
}
