package org.cactusshift.internal.transport.relay;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cactusshift.internal.coordination.serving.SiteChanges;
import org.cactusshift.internal.coordination.store.KeyChange;
import org.cactusshift.internal.coordination.store.VersionedValue;

/**
 * Encodes and decodes what a node tells others of its reads of the store: the letter {@code C}, then JSON with the era,
 * the revisions, the age and the changes, values in base64.
 */
final class SiteChangesMessage {
    private static final char TYPE = 'C';
    private static final ObjectMapper JSON = new ObjectMapper();

    private SiteChangesMessage() {}

    static byte[] encode(SiteChanges changes) {
        ObjectNode root = JSON.createObjectNode()
                .put("era", changes.era())
                .put("from", changes.fromRevision())
                .put("to", changes.toRevision())
                .put("ageMillis", changes.ageMillis());
        ArrayNode list = root.putArray("changes");
        for (KeyChange change : changes.changes()) {
            ObjectNode encoded = list.addObject().put("key", change.key()).put("revision", change.revision());
            change.value()
                    .ifPresent(
                            value -> encoded.put("value", value.value()).put("createRevision", value.createRevision()));
        }
        return (TYPE + root.toString()).getBytes(StandardCharsets.UTF_8);
    }

    /** Decodes a message; returns empty when the bytes are another kind of message, or malformed. */
    static Optional<SiteChanges> decode(byte[] bytes) {
        if (bytes.length == 0 || bytes[0] != TYPE) {
            return Optional.empty();
        }
        try {
            JsonNode root = JSON.readTree(bytes, 1, bytes.length - 1);
            List<KeyChange> changes = new ArrayList<>();
            for (JsonNode encoded : root.path("changes")) {
                String key = encoded.path("key").asText();
                long revision = encoded.path("revision").asLong();
                Optional<VersionedValue> value = encoded.has("value")
                        ? Optional.of(new VersionedValue(
                                key,
                                encoded.path("value").binaryValue(),
                                encoded.path("createRevision").asLong(),
                                revision))
                        : Optional.empty();
                changes.add(new KeyChange(key, value, revision));
            }
            if (!root.path("from").isIntegralNumber() || !root.path("to").isIntegralNumber()) {
                return Optional.empty();
            }
            return Optional.of(new SiteChanges(
                    root.path("era").asLong(SiteChanges.UNKNOWN_ERA),
                    root.path("from").asLong(),
                    root.path("to").asLong(),
                    Math.max(0, root.path("ageMillis").asLong()),
                    changes));
        } catch (IOException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
