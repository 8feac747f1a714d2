package org.cactusshift.internal.protocol.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cactusshift.internal.coordination.routing.PrefixIndex;

/**
 * The response of an engine to {@code GET /cache-events}.
 *
 * @param lastSequence the sequence number to pass to the next poll, which returns the events after it
 * @param events the events; malformed ones and those of unknown kinds are left out
 */
public record CacheEvents(long lastSequence, List<PrefixIndex.Event> events) {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int HEX_RADIX = 16;

    /** Copies the events. */
    public CacheEvents {
        events = List.copyOf(events);
    }

    /**
     * Parses a response.
     *
     * @param body the body of the response
     * @return the events, or empty when the body is malformed
     */
    public static Optional<CacheEvents> parse(byte[] body) {
        JsonNode root;
        try {
            root = MAPPER.readTree(body);
        } catch (IOException e) {
            return Optional.empty();
        }
        if (root == null
                || !root.path("next").isIntegralNumber()
                || !root.path("events").isArray()) {
            return Optional.empty();
        }
        List<PrefixIndex.Event> events = new ArrayList<>();
        root.get("events").forEach(node -> event(node).ifPresent(events::add));
        return Optional.of(new CacheEvents(root.get("next").longValue(), events));
    }

    private static Optional<PrefixIndex.Event> event(JsonNode node) {
        if (!node.path("sequence").isIntegralNumber()) {
            return Optional.empty();
        }
        long sequence = node.get("sequence").longValue();
        return switch (node.path("kind").asText("")) {
            case "stored" -> prefixEvent(sequence, PrefixIndex.EventKind.STORED, node);
            case "evicted" -> prefixEvent(sequence, PrefixIndex.EventKind.EVICTED, node);
            case "cleared" -> Optional.of(new PrefixIndex.Event(sequence, PrefixIndex.EventKind.CLEARED, 0));
            default -> Optional.empty();
        };
    }

    private static Optional<PrefixIndex.Event> prefixEvent(long sequence, PrefixIndex.EventKind kind, JsonNode node) {
        try {
            long hash = Long.parseUnsignedLong(node.path("prefix").asText(""), HEX_RADIX);
            return Optional.of(new PrefixIndex.Event(sequence, kind, hash));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
