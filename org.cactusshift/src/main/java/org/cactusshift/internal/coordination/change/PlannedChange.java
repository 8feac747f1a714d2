package org.cactusshift.internal.coordination.change;

import java.util.Objects;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.order.OrderContent;

/**
 * The change of one engine at the node that carries it out.
 *
 * @param engine the engine
 * @param content what the engine is to be ordered
 * @param phase how far the change has come
 * @param startedAtMillis when the change was wanted, monotonic
 * @param quietRounds how many rounds in a row found that nothing runs on the engine and no node sends it work
 * @param lastQuietAtMillis when the last of these rounds was begun, monotonic
 */
public record PlannedChange(
        UpstreamId engine,
        OrderContent content,
        Phase phase,
        long startedAtMillis,
        int quietRounds,
        long lastQuietAtMillis) {
    /** How far a change has come. */
    public enum Phase {
        /** No node was asked yet. */
        WANTED,
        /** The nodes are asked to keep new work away, and to say what still runs. */
        DRAINING,
        /** The order is recorded; it is sent while the rounds stay quiet. */
        ORDERED,
        /** The engine has changed. */
        DONE,
        /** The change waits for the change of another engine of the service. */
        GAVE_WAY,
        /** The change was given up for now. */
        PUT_OFF
    }

    /** Checks that no part is missing. */
    public PlannedChange {
        Objects.requireNonNull(engine, "engine");
        Objects.requireNonNull(content, "content");
        Objects.requireNonNull(phase, "phase");
    }

    /**
     * Tells whether the change is over.
     *
     * @return true when it was carried out, gave way or was put off
     */
    public boolean isEnded() {
        return phase == Phase.DONE || phase == Phase.GAVE_WAY || phase == Phase.PUT_OFF;
    }

    PlannedChange transitionTo(Phase next) {
        return new PlannedChange(engine, content, next, startedAtMillis, quietRounds, lastQuietAtMillis);
    }

    PlannedChange withQuietRounds(int quiet, long quietAtMillis) {
        return new PlannedChange(engine, content, phase, startedAtMillis, quiet, quietAtMillis);
    }
}
