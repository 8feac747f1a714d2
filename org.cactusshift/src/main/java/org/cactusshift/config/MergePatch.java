package org.cactusshift.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;

/** Implements JSON merge patch (RFC 7396). */
public final class MergePatch {
    private MergePatch() {}

    /**
     * Applies a patch; neither argument is modified.
     *
     * @param target the document
     * @param patch the patch: objects are merged, null removes a field, any other value replaces it
     * @return the patched document
     */
    public static JsonNode apply(JsonNode target, JsonNode patch) {
        if (!patch.isObject()) {
            return patch.deepCopy();
        }
        ObjectNode result = target.isObject() ? target.deepCopy() : JsonNodeFactory.instance.objectNode();
        for (Map.Entry<String, JsonNode> field : patch.properties()) {
            if (field.getValue().isNull()) {
                result.remove(field.getKey());
            } else {
                JsonNode old = result.path(field.getKey());
                result.set(field.getKey(), apply(old, field.getValue()));
            }
        }
        return result;
    }
}
