package org.cactusshift.internal.protocol.etcd;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import org.cactusshift.internal.coordination.store.KeyChange;
import org.cactusshift.internal.coordination.store.LeaseGrant;
import org.cactusshift.internal.coordination.store.RangeResult;
import org.cactusshift.internal.coordination.store.SwapResult;
import org.cactusshift.internal.coordination.store.VersionedValue;

/** Parses responses of the etcd v3 JSON API. */
public final class EtcdResponses {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static final long MILLIS_PER_SECOND = 1000;

    private EtcdResponses() {}

    /**
     * Parses the response to a range request.
     *
     * @param body the JSON body
     * @return the values with the revision at which they were read
     * @throws EtcdFormatException if the body is malformed
     */
    public static RangeResult rangeResult(byte[] body) throws EtcdFormatException {
        return parseRange(parseObject(body));
    }

    /**
     * Parses the response to a compare-and-swap or compare-and-delete transaction.
     *
     * @param body the JSON body
     * @return the result; when the comparison failed, a conflict with the current value, or without one if the key does
     *     not exist
     * @throws EtcdFormatException if the body is malformed
     */
    public static SwapResult swapResult(byte[] body) throws EtcdFormatException {
        JsonNode root = parseObject(body);
        long revision = revisionOf(root);
        if (root.path("succeeded").asBoolean(false)) {
            return SwapResult.applied(revision);
        }
        JsonNode range = root.path("responses").path(0).path("response_range");
        return SwapResult.conflict(revision, first(valuesOf(range)));
    }

    /**
     * Parses the response to a lease grant.
     *
     * @param body the JSON body
     * @return the lease
     * @throws EtcdFormatException if the body is malformed
     */
    public static LeaseGrant leaseGrant(byte[] body) throws EtcdFormatException {
        return parseLease(parseObject(body));
    }

    /**
     * Parses the response to a lease renewal.
     *
     * @param body the JSON body
     * @return the renewed lease, empty when the lease has expired or was revoked
     * @throws EtcdFormatException if the body is malformed
     */
    public static Optional<LeaseGrant> keepAlive(byte[] body) throws EtcdFormatException {
        JsonNode result = parseObject(body).path("result");
        if (!result.isObject()) {
            throw new EtcdFormatException("the response to a lease renewal has no result");
        }
        return Optional.of(parseLease(result)).filter(lease -> lease.ttlMillis() > 0);
    }

    /**
     * Parses one line of a watch; an error that the store reports is returned as the reason why the watch ended.
     *
     * @param line the JSON line
     * @return the message
     * @throws EtcdFormatException if the line is malformed
     */
    public static EtcdWatchMessage watchMessage(String line) throws EtcdFormatException {
        JsonNode root = parseObject(line);
        if (root.has("error")) {
            return new EtcdWatchMessage(0, false, Optional.of(root.path("error").toString()), List.of());
        }
        JsonNode result = root.path("result");
        Optional<String> canceled = Optional.empty();
        if (result.path("canceled").asBoolean(false)) {
            // The revision is 0 when the watch was not canceled because of a compaction.
            canceled = Optional.of("watch canceled by the store, compact revision "
                    + result.path("compact_revision").asText("0"));
        }
        List<KeyChange> changes = new ArrayList<>();
        for (JsonNode event : result.path("events")) {
            changes.add(changeOf(event));
        }
        return new EtcdWatchMessage(revisionOf(result), result.path("created").asBoolean(false), canceled, changes);
    }

    /**
     * Returns the message of an error response.
     *
     * @param body the body, which need not be JSON
     * @return the store's message, or a text that says that the body has none
     */
    public static String errorMessage(byte[] body) {
        try {
            JsonNode root = parseObject(body);
            return root.path("message").asText(root.path("error").asText("error response without a message"));
        } catch (EtcdFormatException e) {
            return "error response without a message";
        }
    }

    private static KeyChange changeOf(JsonNode event) throws EtcdFormatException {
        VersionedValue value = valueOf(event.path("kv"));
        boolean deleted = "DELETE".equals(event.path("type").asText());
        return new KeyChange(value.key(), deleted ? Optional.empty() : Optional.of(value), value.modRevision());
    }

    private static RangeResult parseRange(JsonNode root) throws EtcdFormatException {
        return new RangeResult(revisionOf(root), valuesOf(root));
    }

    private static List<VersionedValue> valuesOf(JsonNode range) throws EtcdFormatException {
        List<VersionedValue> values = new ArrayList<>();
        for (JsonNode kv : range.path("kvs")) {
            values.add(valueOf(kv));
        }
        return values;
    }

    private static Optional<VersionedValue> first(List<VersionedValue> values) {
        return values.stream().findFirst();
    }

    private static VersionedValue valueOf(JsonNode kv) throws EtcdFormatException {
        try {
            return new VersionedValue(
                    EtcdEncoding.decodeUtf8(kv.path("key").asText()),
                    Base64.getDecoder().decode(kv.path("value").asText("")),
                    number(kv, "create_revision"),
                    number(kv, "mod_revision"));
        } catch (IllegalArgumentException e) {
            throw new EtcdFormatException("a key or value in a message of the store is not base64", e);
        }
    }

    private static LeaseGrant parseLease(JsonNode node) throws EtcdFormatException {
        return new LeaseGrant(number(node, "ID"), number(node, "TTL") * MILLIS_PER_SECOND);
    }

    private static long revisionOf(JsonNode node) throws EtcdFormatException {
        JsonNode header = node.path("header");
        if (!header.isObject()) {
            throw new EtcdFormatException("a message of the store has no header");
        }
        return number(header, "revision");
    }

    /** Reads a 64-bit integer, which is a string in the JSON mapping of protobuf; absent means 0, the default. */
    private static long number(JsonNode node, String field) throws EtcdFormatException {
        try {
            return Long.parseLong(node.path(field).asText("0"));
        } catch (NumberFormatException e) {
            throw new EtcdFormatException("field " + field + " in a message of the store must be a 64-bit integer", e);
        }
    }

    private static JsonNode parseObject(byte[] body) throws EtcdFormatException {
        try {
            return requireObject(MAPPER.readTree(body));
        } catch (EtcdFormatException e) {
            throw e;
        } catch (IOException e) {
            throw new EtcdFormatException("the response is not JSON", e);
        }
    }

    private static JsonNode parseObject(String line) throws EtcdFormatException {
        try {
            return requireObject(MAPPER.readTree(line));
        } catch (JsonProcessingException e) {
            throw new EtcdFormatException("a line of the watch is not JSON", e);
        }
    }

    private static JsonNode requireObject(JsonNode node) throws EtcdFormatException {
        if (node == null || !node.isObject()) {
            throw new EtcdFormatException("a message of the store is not a JSON object");
        }
        return node;
    }
}
