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

/** Plans as kept in the store, so that a successor goes on with the same plan. */
final class FleetPlanCodec {
    private static final ObjectMapper JSON = new ObjectMapper();

    private FleetPlanCodec() {}

    static byte[] write(Map<ServiceId, FleetPlan> plans) {
        ObjectNode root = JSON.createObjectNode();
        plans.forEach((service, plan) -> {
            ObjectNode kept = root.putObject(service.value()).put("settled", plan.complete());
            ObjectNode domains = kept.putObject("domains");
            plan.sorted()
                    .forEach((domain, counts) -> domains.putObject(domain.value())
                            .put("lasting", counts.lasting())
                            .put("reclaimable", counts.reclaimable()));
        });
        return root.toString().getBytes(StandardCharsets.UTF_8);
    }

    static Optional<Map<ServiceId, FleetPlan>> read(byte[] value) {
        try {
            Map<ServiceId, FleetPlan> plans = new HashMap<>();
            JsonNode root = JSON.readTree(value);
            for (Iterator<Map.Entry<String, JsonNode>> all = root.fields(); all.hasNext(); ) {
                Map.Entry<String, JsonNode> service = all.next();
                Map<FailureDomainId, FleetPlan.Counts> domains = new HashMap<>();
                service.getValue()
                        .path("domains")
                        .fields()
                        .forEachRemaining(domain -> domains.put(
                                FailureDomainId.fromString(domain.getKey()),
                                new FleetPlan.Counts(
                                        domain.getValue().path("lasting").asInt(),
                                        domain.getValue().path("reclaimable").asInt())));
                plans.put(
                        ServiceId.fromString(service.getKey()),
                        new FleetPlan(
                                domains, service.getValue().path("settled").asBoolean()));
            }
            return Optional.of(plans);
        } catch (IOException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
