package org.cactusshift.systemtest;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.cactusshift.config.Json;

/** Collects what the logs of the nodes and the history of faults tell about a lost request. */
final class SoakEvidence {
    /** Faults and starts and stops of the node are listed from this long before the request on. */
    private static final long BEFORE_MILLIS = 10_000;

    private static final long AFTER_MILLIS = 1_000;

    /** Events of a node that concern all its requests. */
    private static final Set<String> NODE_EVENTS =
            Set.of("node.started", "node.stopping", "node.stopped", "caller.failed");

    private SoakEvidence() {}

    static String of(SoakLostRequest lost, SoakNode node, List<SoakFault> faults) throws IOException {
        long fromEpochMillis = lost.sentAtEpochMillis() - BEFORE_MILLIS;
        long toEpochMillis = lost.endedAtEpochMillis() + AFTER_MILLIS;
        StringBuilder text = new StringBuilder("evidence: ").append(lost);
        faults.stream()
                .filter(fault -> fault.overlaps(fromEpochMillis, toEpochMillis))
                .forEach(fault -> text.append("\n  fault ").append(fault));
        node.process()
                .output()
                .lines()
                .filter(line -> concerns(line, lost.id(), fromEpochMillis, toEpochMillis))
                .forEach(line -> text.append("\n  log ").append(line));
        return text.toString();
    }

    private static boolean concerns(String line, String requestId, long fromEpochMillis, long toEpochMillis) {
        JsonNode fields;
        try {
            fields = Json.mapper().readTree(line);
        } catch (IOException e) {
            // It is no line of the event log, such as the stack trace of a failure.
            return true;
        }
        if (fields.path("request").asText().equals(requestId)) {
            return true;
        }
        if (!NODE_EVENTS.contains(fields.path("event").asText())) {
            return false;
        }
        long atEpochMillis = Instant.parse(fields.path("time").asText()).toEpochMilli();
        return fromEpochMillis <= atEpochMillis && atEpochMillis <= toEpochMillis;
    }
}
