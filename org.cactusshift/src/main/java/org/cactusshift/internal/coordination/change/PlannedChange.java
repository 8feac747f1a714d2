package org.cactusshift.internal.coordination.change;

import java.util.Objects;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.order.OrderContent;

/**
 * The state of a planned change of one engine (its role, model version or adapter), at the node that carries it out.
 *
 * @param engine the engine
 * @param content the content of the order to the engine
 * @param phase the phase of the change
 * @param startedAtMillis when the change was started, monotonic
 * @param quietRounds the number of consecutive quiet rounds, in which every node that is not known to be gone
 *     acknowledged the drain and had no request in flight on the engine
 * @param lastQuietAtMillis when the last quiet round was started, monotonic; the start of the change before the
 *     first one
 */
public record PlannedChange(
        UpstreamId engine,
        OrderContent content,
        Phase phase,
        long startedAtMillis,
        int quietRounds,
        long lastQuietAtMillis) {
    /** The phase of a change. */
    public enum Phase {
        /** The change is selected; no drain request was sent yet. */
        WANTED,
        /** The nodes are asked to exclude the engine from new requests and to report their requests in flight. */
        DRAINING,
        /** The order was submitted; it may be sent while the rounds remain quiet. */
        ORDERED,
        /** The engine has carried out the change. */
        DONE,
        /** The change yielded to the change of another engine of the service. */
        GAVE_WAY,
        /**
         * The change was postponed: it could not be ordered by the drain timeout, or the engine did not report it after
         * the order. It may be tried again after a delay.
         */
        PUT_OFF
    }

    /** Rejects missing components. */
    public PlannedChange {
        Objects.requireNonNull(engine, "engine");
        Objects.requireNonNull(content, "content");
        Objects.requireNonNull(phase, "phase");
    }

    /**
     * Returns whether the change has ended.
     *
     * @return true when it was carried out, yielded or was postponed
     */
    public boolean isEnded() {
        return phase == Phase.DONE || phase == Phase.GAVE_WAY || phase == Phase.PUT_OFF;
    }

    PlannedChange transitionTo(Phase next) {
        return new PlannedChange(engine, content, next, startedAtMillis, quietRounds, lastQuietAtMillis);
    }

    PlannedChange withQuietRounds(int newQuietRounds, long quietAtMillis) {
        return new PlannedChange(engine, content, phase, startedAtMillis, newQuietRounds, quietAtMillis);
    }
}
