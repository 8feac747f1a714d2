package org.cactusshift.replay;

import java.util.List;
import java.util.Objects;

/**
 * A recorded or generated trace of requests and fleet events.
 *
 * @param header the header
 * @param events the events, ordered by time
 */
public record Trace(TraceHeader header, List<TraceEvent> events) {
    /** The version of the trace file format. */
    public static final int FORMAT_VERSION = 1;

    /** Copies the events. */
    public Trace {
        Objects.requireNonNull(header, "header");
        events = List.copyOf(events);
    }
}
