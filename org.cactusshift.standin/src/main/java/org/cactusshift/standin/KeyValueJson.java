package org.cactusshift.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.cactusshift.internal.coordination.store.KeyChange;
import org.cactusshift.internal.coordination.store.LeaseGrant;
import org.cactusshift.internal.coordination.store.RangeResult;
import org.cactusshift.internal.coordination.store.SwapResult;
import org.cactusshift.internal.coordination.store.VersionedValue;
import org.cactusshift.internal.protocol.etcd.EtcdEncoding;

/** Encodes the response bodies and reads the numbers of the etcd v3 JSON API. */
final class KeyValueJson {
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private static final long MILLIS_PER_SECOND = 1000;

    private KeyValueJson() {}

    static ObjectNode responseWithHeader(long revision) {
        ObjectNode root = NODES.objectNode();
        root.putObject("header").put("revision", Long.toString(revision));
        return root;
    }

    static ObjectNode range(RangeResult range) {
        ObjectNode root = responseWithHeader(range.revision());
        ArrayNode kvs = root.putArray("kvs");
        range.values().forEach(value -> kvs.add(keyValue(value)));
        return root.put("count", Integer.toString(range.values().size()));
    }

    static ObjectNode swap(SwapResult result) {
        ObjectNode root = responseWithHeader(result.revision());
        ArrayNode responses = root.put("succeeded", result.isApplied()).putArray("responses");
        if (!result.isApplied()) {
            RangeResult current =
                    new RangeResult(result.revision(), result.current().stream().toList());
            responses.addObject().set("response_range", range(current));
        }
        return root;
    }

    static ObjectNode lease(long revision, LeaseGrant lease) {
        return responseWithHeader(revision)
                .put("ID", Long.toString(lease.leaseId()))
                .put("TTL", Long.toString(lease.ttlMillis() / MILLIS_PER_SECOND));
    }

    /** Wraps a message of a stream, as the JSON gateway of etcd does. */
    static ObjectNode wrapResult(ObjectNode message) {
        return NODES.objectNode().set("result", message);
    }

    static ObjectNode changes(long revision, List<KeyChange> changes) {
        ObjectNode root = responseWithHeader(revision);
        ArrayNode events = root.putArray("events");
        changes.forEach(change -> events.add(event(change)));
        return wrapResult(root);
    }

    static ObjectNode error(int code, String message) {
        return NODES.objectNode().put("error", message).put("code", code).put("message", message);
    }

    /** Reads a 64-bit number, encoded as a string or as a number; returns 0 when it is absent. */
    static long readLong(JsonNode node, String field) {
        return Long.parseLong(node.path(field).asText("0"));
    }

    private static ObjectNode event(KeyChange change) {
        ObjectNode event = NODES.objectNode();
        if (change.value().isPresent()) {
            event.set("kv", keyValue(change.value().get()));
            return event;
        }
        event.put("type", "DELETE");
        event.putObject("kv")
                .put("key", EtcdEncoding.encode(change.key()))
                .put("mod_revision", Long.toString(change.revision()));
        return event;
    }

    private static ObjectNode keyValue(VersionedValue value) {
        return NODES.objectNode()
                .put("key", EtcdEncoding.encode(value.key()))
                .put("create_revision", Long.toString(value.createRevision()))
                .put("mod_revision", Long.toString(value.modRevision()))
                .put("value", EtcdEncoding.encode(value.value()));
    }
}
