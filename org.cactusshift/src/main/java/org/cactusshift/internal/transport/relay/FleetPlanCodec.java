package org.cactusshift.internal.transport.relay;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.internal.coordination.serving.FleetPlan;

/**
 * Encodes and decodes the fleet plans of all services as JSON for the store, so that the next holder of the duty
 * continues with the same plans.
 */
final class FleetPlanCodec {
    private static final ObjectMapper JSON = new ObjectMapper();

    private FleetPlanCodec() {}

    static byte[] encode(Map<ServiceId, FleetPlan> plans) {
        ObjectNode root = JSON.createObjectNode();
        plans.forEach((service, plan) -> {
            ObjectNode encoded = root.putObject(service.value()).put("settled", plan.complete());
            ObjectNode domains = encoded.putObject("domains");
            plan.sorted()
                    .forEach((domain, counts) -> domains.putObject(domain.value())
                            .put("lasting", counts.lasting())
                            .put("reclaimable", counts.reclaimable()));
        });
        return root.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Decodes fleet plans; returns empty when the value is malformed. */
    static Optional<Map<ServiceId, FleetPlan>> decode(byte[] value) {
        try {
            Map<ServiceId, FleetPlan> plans = new HashMap<>();
            JsonNode root = JSON.readTree(value);
            for (Iterator<Map.Entry<String, JsonNode>> services = root.fields(); services.hasNext(); ) {
                Map.Entry<String, JsonNode> service = services.next();
                Map<FailureDomainId, FleetPlan.Counts> countsByDomain = new HashMap<>();
                service.getValue()
                        .path("domains")
                        .fields()
                        .forEachRemaining(domain -> countsByDomain.put(
                                FailureDomainId.fromString(domain.getKey()),
                                new FleetPlan.Counts(
                                        domain.getValue().path("lasting").asInt(),
                                        domain.getValue().path("reclaimable").asInt())));
                plans.put(
                        ServiceId.fromString(service.getKey()),
                        new FleetPlan(
                                countsByDomain,
                                service.getValue().path("settled").asBoolean()));
            }
            return Optional.of(plans);
        } catch (IOException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
