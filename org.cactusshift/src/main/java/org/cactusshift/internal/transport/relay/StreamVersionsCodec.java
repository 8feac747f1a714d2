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
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.SoftwareVersion;
import org.cactusshift.internal.coordination.serving.StreamVersions;

/** Encodes and decodes the record of stream versions as JSON: by service, each version with its use. */
final class StreamVersionsCodec {
    private static final ObjectMapper JSON = new ObjectMapper();

    private StreamVersionsCodec() {}

    static byte[] encode(StreamVersions versions) {
        ObjectNode root = JSON.createObjectNode();
        versions.usesByService().forEach((service, uses) -> {
            ObjectNode encoded = root.putObject(service.value());
            uses.forEach((version, use) -> encoded.put(version.value(), use.name()));
        });
        return root.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Decodes a record; returns empty when the value is malformed. */
    static Optional<StreamVersions> decode(byte[] value) {
        try {
            Map<ServiceId, Map<SoftwareVersion, StreamVersions.Use>> usesByService = new HashMap<>();
            JsonNode root = JSON.readTree(value);
            for (Iterator<Map.Entry<String, JsonNode>> services = root.fields(); services.hasNext(); ) {
                Map.Entry<String, JsonNode> service = services.next();
                Map<SoftwareVersion, StreamVersions.Use> uses = new HashMap<>();
                service.getValue()
                        .fields()
                        .forEachRemaining(use -> uses.put(
                                SoftwareVersion.fromString(use.getKey()),
                                StreamVersions.Use.valueOf(use.getValue().asText())));
                usesByService.put(ServiceId.fromString(service.getKey()), uses);
            }
            return Optional.of(new StreamVersions(usesByService));
        } catch (IOException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
