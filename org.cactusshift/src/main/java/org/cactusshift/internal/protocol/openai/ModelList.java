package org.cactusshift.internal.protocol.openai;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** Builds the response to a request for the list of models. */
public final class ModelList {
    private static final String OWNER = "cactusshift";

    private ModelList() {}

    /**
     * Returns the list of models.
     *
     * @param names the names of the models
     * @return the JSON text
     */
    public static String toJson(List<String> names) {
        ObjectNode root = Json.newObject();
        root.put("object", "list");
        ArrayNode data = root.putArray("data");
        names.forEach(name -> data.add(model(name)));
        return Json.write(root);
    }

    private static ObjectNode model(String name) {
        return Json.newObject()
                .put("id", name)
                .put("object", "model")
                .put("created", 0)
                .put("owned_by", OWNER);
    }
}
