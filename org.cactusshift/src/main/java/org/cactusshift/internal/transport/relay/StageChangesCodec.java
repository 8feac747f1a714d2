package org.cactusshift.internal.transport.relay;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.limits.UpstreamIncarnation;
import org.cactusshift.internal.coordination.serving.EngineStage;
import org.cactusshift.internal.coordination.serving.StageChanges;

/** Encodes and decodes announced changes of stage as JSON for the store. */
final class StageChangesCodec {
    private static final ObjectMapper JSON = new ObjectMapper();

    private StageChangesCodec() {}

    static byte[] encode(StageChanges changes) {
        ObjectNode root = JSON.createObjectNode();
        ArrayNode encoded = root.putArray("changes");
        changes.stageByEngine()
                .forEach((engine, stage) -> encoded.addObject()
                        .put("upstream", engine.upstream().value())
                        .put("startedAtEpochMillis", engine.startedAtEpochMillis())
                        .put("stage", stage.name()));
        return root.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Decodes announced changes; returns empty when the value is malformed. */
    static Optional<StageChanges> decode(byte[] value) {
        try {
            Map<UpstreamIncarnation, EngineStage> changes = new HashMap<>();
            for (JsonNode change : JSON.readTree(value).path("changes")) {
                changes.put(
                        new UpstreamIncarnation(
                                UpstreamId.fromString(change.path("upstream").asText()),
                                change.path("startedAtEpochMillis").asLong()),
                        EngineStage.valueOf(change.path("stage").asText()));
            }
            return Optional.of(new StageChanges(changes));
        } catch (IOException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
