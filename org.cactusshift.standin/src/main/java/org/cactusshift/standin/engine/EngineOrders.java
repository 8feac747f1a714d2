package org.cactusshift.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.cactusshift.config.UpstreamConfig.Role;

/**
 * The orders of an engine, which are commands to change its role or load a model version or adapter: the outstanding
 * one, the one that ended last, and the log of all received ones.
 */
final class EngineOrders {
    private final List<ReceivedEngineOrder> received = new ArrayList<>();

    private final Set<String> knownOrderIds = new HashSet<>();

    private Optional<JsonNode> outstandingOrder = Optional.empty();

    private Optional<LastOrder> lastOrder = Optional.empty();

    private long highestFencingNumber;

    /** Decides on an order and logs it; an accepted order becomes the outstanding order. */
    synchronized ReceivedEngineOrder receive(JsonNode order, boolean checksFencing, long nowMillis) {
        ReceivedEngineOrder receivedOrder = new ReceivedEngineOrder(
                order.path("order_id").asText(""),
                order.path("fencing_number").asLong(-1),
                order.path("kind").asText(""),
                nowMillis,
                highestFencingNumber,
                decide(order, checksFencing));
        received.add(receivedOrder);
        if (receivedOrder.decision() == ReceivedEngineOrder.Decision.ACCEPTED) {
            knownOrderIds.add(receivedOrder.orderId());
            outstandingOrder = Optional.of(order);
            highestFencingNumber = Math.max(highestFencingNumber, receivedOrder.fencingNumber());
        }
        return receivedOrder;
    }

    /** Records the end of the outstanding order. */
    synchronized void endOutstandingOrder(String orderId, boolean succeeded) {
        outstandingOrder = Optional.empty();
        lastOrder = Optional.of(new LastOrder(orderId, succeeded));
    }

    /** Clears everything except for the log, as a restart does. */
    synchronized void clearState() {
        knownOrderIds.clear();
        outstandingOrder = Optional.empty();
        lastOrder = Optional.empty();
        highestFencingNumber = 0;
    }

    synchronized List<ReceivedEngineOrder> received() {
        return List.copyOf(received);
    }

    synchronized ObjectNode toJson(Role role, String version) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.set("outstanding", outstandingOrder.orElse(JsonNodeFactory.instance.nullNode()));
        if (lastOrder.isPresent()) {
            root.putObject("last")
                    .put("order_id", lastOrder.get().orderId())
                    .put("state", lastOrder.get().succeeded() ? "done" : "failed");
        } else {
            root.putNull("last");
        }
        return root.put("role", role.name().toLowerCase(Locale.ROOT))
                .put("version", version)
                .put("fencing_number", highestFencingNumber);
    }

    private ReceivedEngineOrder.Decision decide(JsonNode order, boolean checksFencing) {
        if (!isWellFormed(order)) {
            return ReceivedEngineOrder.Decision.MALFORMED;
        }
        if (checksFencing && order.path("fencing_number").asLong() < highestFencingNumber) {
            return ReceivedEngineOrder.Decision.STALE;
        }
        if (knownOrderIds.contains(order.path("order_id").asText())) {
            return ReceivedEngineOrder.Decision.REPEATED;
        }
        return outstandingOrder.isPresent() ? ReceivedEngineOrder.Decision.BUSY : ReceivedEngineOrder.Decision.ACCEPTED;
    }

    private static boolean isWellFormed(JsonNode order) {
        if (order.path("order_id").asText("").isEmpty()
                || !order.path("fencing_number").isIntegralNumber()) {
            return false;
        }
        return switch (order.path("kind").asText("")) {
            case "set_role" -> roleOf(order).isPresent();
            case "load_version" -> !order.path("version").asText("").isEmpty();
            case "load_adapter" -> !order.path("adapter").asText("").isEmpty();
            default -> false;
        };
    }

    static Optional<Role> roleOf(JsonNode order) {
        String name = order.path("role").asText("").toUpperCase(Locale.ROOT);
        for (Role role : Role.values()) {
            if (role.name().equals(name)) {
                return Optional.of(role);
            }
        }
        return Optional.empty();
    }

    private record LastOrder(String orderId, boolean succeeded) {}
}
