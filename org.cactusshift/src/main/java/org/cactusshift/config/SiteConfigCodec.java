package org.cactusshift.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.BooleanNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Converts between {@link SiteConfig} and the tree of the file format.
 *
 * <p>The file format keeps what has an id in objects keyed by that id, so that an overlay or a difference names one
 * account or upstream instead of a position in a list. The records hold them as lists in the order of their ids.
 */
public final class SiteConfigCodec {
    private static final String ID = "id";
    private static final String KEYS = "keys";

    private SiteConfigCodec() {}

    /**
     * Returns the tree of a configuration.
     *
     * @param config the configuration
     * @return the tree in the file format, every field written out
     */
    public static ObjectNode toTree(SiteConfig config) {
        ObjectNode tree = Json.mapper().valueToTree(config);
        for (JsonNode account : tree.path(SiteConfigFields.ACCOUNTS)) {
            keyById((ObjectNode) account, KEYS);
        }
        for (String field : SiteConfigFields.KEYED_BY_ID) {
            keyById(tree, field);
        }
        return tree;
    }

    /**
     * Returns the configuration of a tree that passed the schema.
     *
     * @param tree the tree in the file format; not changed
     * @return the configuration
     * @throws JsonProcessingException if the tree does not fit the records
     */
    public static SiteConfig fromTree(JsonNode tree) throws JsonProcessingException {
        ObjectNode copy = tree.isObject() ? tree.deepCopy() : JsonNodeFactory.instance.objectNode();
        for (String field : SiteConfigFields.KEYED_BY_ID) {
            replaceWithList(copy, field);
        }
        copy.path(SiteConfigFields.ACCOUNTS).forEach(SiteConfigCodec::setAccountDefaults);
        copy.path(SiteConfigFields.SERVICES).forEach(SiteConfigCodec::setServiceDefaults);
        copy.path(SiteConfigFields.UPSTREAMS).forEach(SiteConfigCodec::setUpstreamDefaults);
        return Json.mapper().treeToValue(copy, SiteConfig.class);
    }

    /**
     * Returns the accounts of the file format's object keyed by account id.
     *
     * @param keyed the object; not changed
     * @return the accounts in the order of their ids
     * @throws JsonProcessingException if it does not fit the records
     */
    public static List<AccountConfig> accounts(JsonNode keyed) throws JsonProcessingException {
        JsonNode list = toList(keyed);
        list.forEach(SiteConfigCodec::setAccountDefaults);
        return List.of(Json.mapper().treeToValue(list, AccountConfig[].class));
    }

    /**
     * Returns the upstreams of the file format's object keyed by upstream id.
     *
     * @param keyed the object; not changed
     * @return the upstreams in the order of their ids
     * @throws JsonProcessingException if it does not fit the records
     */
    public static List<UpstreamConfig> upstreams(JsonNode keyed) throws JsonProcessingException {
        JsonNode list = toList(keyed);
        list.forEach(SiteConfigCodec::setUpstreamDefaults);
        return List.of(Json.mapper().treeToValue(list, UpstreamConfig[].class));
    }

    private static void setAccountDefaults(JsonNode account) {
        replaceWithList((ObjectNode) account, KEYS);
        account.path(KEYS).forEach(key -> setDefault(key, "withdrawn", BooleanNode.FALSE));
    }

    private static void setServiceDefaults(JsonNode service) {
        setDefault(service, "activeVersion", TextNode.valueOf(""));
        setDefault(service, "openRoute", BooleanNode.FALSE);
        setDefault(service, "repeatable", BooleanNode.FALSE);
        setDefault(service, "repeatablePaths", JsonNodeFactory.instance.arrayNode());
    }

    private static void setUpstreamDefaults(JsonNode upstream) {
        setDefault(upstream, "role", TextNode.valueOf(UpstreamConfig.Role.MIXED.name()));
        setDefault(upstream, "reclaimable", BooleanNode.FALSE);
        setDefault(upstream, "checksFencing", BooleanNode.FALSE);
        setDefault(upstream, "draining", BooleanNode.FALSE);
        setDefault(upstream, "memoryPieces", JsonNodeFactory.instance.numberNode(0));
    }

    private static void setDefault(JsonNode object, String field, JsonNode value) {
        if (!object.has(field)) {
            ((ObjectNode) object).set(field, value);
        }
    }

    private static void keyById(ObjectNode parent, String field) {
        ObjectNode keyed = JsonNodeFactory.instance.objectNode();
        for (JsonNode item : parent.path(field)) {
            ObjectNode content = item.deepCopy();
            keyed.set(content.remove(ID).textValue(), content);
        }
        parent.set(field, keyed);
    }

    private static void replaceWithList(ObjectNode parent, String field) {
        parent.set(field, toList(parent.path(field)));
    }

    private static ArrayNode toList(JsonNode keyed) {
        Map<String, JsonNode> byId = new TreeMap<>();
        keyed.properties().forEach(item -> byId.put(item.getKey(), item.getValue()));
        ArrayNode list = JsonNodeFactory.instance.arrayNode();
        byId.forEach((id, item) -> {
            ObjectNode content = JsonNodeFactory.instance.objectNode();
            content.put(ID, id);
            content.setAll((ObjectNode) item.deepCopy());
            list.add(content);
        });
        return list;
    }
}
