package org.cactusshift.internal.protocol.etcd;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.cactusshift.internal.coordination.store.LeaseGrant;

/** Builds requests of the etcd v3 JSON API. */
public final class EtcdRequests {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static final long MILLIS_PER_SECOND = 1000;

    private EtcdRequests() {}

    /**
     * Builds a read of one key.
     *
     * @param key the full key
     * @return the request
     */
    public static EtcdRequest get(String key) {
        return request("/v3/kv/range", MAPPER.createObjectNode().put("key", EtcdEncoding.encode(key)));
    }

    /**
     * Builds a read of all keys with a prefix.
     *
     * @param prefix the prefix
     * @return the request
     */
    public static EtcdRequest listPrefix(String prefix) {
        return request("/v3/kv/range", rangeNode(prefix));
    }

    /**
     * Builds a compare-and-swap on the modification revision; if the comparison fails, the key is read instead.
     *
     * @param key the full key
     * @param expectedModRevision the expected modification revision; 0 when the key must be absent
     * @param value the new bytes
     * @param lease the lease to attach, or {@link LeaseGrant#NONE}
     * @return the request
     */
    public static EtcdRequest compareAndSwap(String key, long expectedModRevision, byte[] value, LeaseGrant lease) {
        ObjectNode put =
                MAPPER.createObjectNode().put("key", EtcdEncoding.encode(key)).put("value", EtcdEncoding.encode(value));
        if (lease.leaseId() != 0) {
            put.put("lease", Long.toString(lease.leaseId()));
        }
        return transaction(key, expectedModRevision, MAPPER.createObjectNode().set("request_put", put));
    }

    /**
     * Builds a deletion that compares the modification revision; if the comparison fails, the key is read instead.
     *
     * @param key the full key
     * @param expectedModRevision the expected modification revision
     * @return the request
     */
    public static EtcdRequest compareAndDelete(String key, long expectedModRevision) {
        ObjectNode delete = MAPPER.createObjectNode().put("key", EtcdEncoding.encode(key));
        return transaction(key, expectedModRevision, MAPPER.createObjectNode().set("request_delete_range", delete));
    }

    /**
     * Builds a lease grant; the time to live is rounded up to whole seconds.
     *
     * @param ttlMillis the requested time to live, in milliseconds
     * @return the request
     */
    public static EtcdRequest grantLease(long ttlMillis) {
        long ttlSeconds = Math.max(1, (ttlMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
        return request("/v3/lease/grant", MAPPER.createObjectNode().put("TTL", Long.toString(ttlSeconds)));
    }

    /**
     * Builds a keep-alive, which renews a lease.
     *
     * @param leaseId the lease
     * @return the request
     */
    public static EtcdRequest keepAlive(long leaseId) {
        return request("/v3/lease/keepalive", leaseNode(leaseId));
    }

    /**
     * Builds a lease revocation.
     *
     * @param leaseId the lease
     * @return the request
     */
    public static EtcdRequest revokeLease(long leaseId) {
        return request("/v3/lease/revoke", leaseNode(leaseId));
    }

    /**
     * Builds a watch on a prefix with progress notifications.
     *
     * @param prefix the prefix
     * @param fromRevision the first revision to deliver; values below 1 count as 1
     * @return the request
     */
    public static EtcdRequest watch(String prefix, long fromRevision) {
        ObjectNode create = rangeNode(prefix);
        // Revision 0 would mean that the watch starts at the current revision.
        create.put("start_revision", Long.toString(Math.max(1, fromRevision)));
        create.put("progress_notify", true);
        return request("/v3/watch", MAPPER.createObjectNode().set("create_request", create));
    }

    private static ObjectNode rangeNode(String prefix) {
        return MAPPER.createObjectNode()
                .put("key", EtcdEncoding.rangeStart(prefix))
                .put("range_end", EtcdEncoding.rangeEnd(prefix));
    }

    private static ObjectNode leaseNode(long leaseId) {
        return MAPPER.createObjectNode().put("ID", Long.toString(leaseId));
    }

    private static EtcdRequest transaction(String key, long expectedModRevision, ObjectNode write) {
        String encodedKey = EtcdEncoding.encode(key);
        ObjectNode body = MAPPER.createObjectNode();
        body.putArray("compare")
                .addObject()
                .put("key", encodedKey)
                .put("target", "MOD")
                .put("result", "EQUAL")
                .put("mod_revision", Long.toString(expectedModRevision));
        body.putArray("success").add(write);
        body.putArray("failure").addObject().putObject("request_range").put("key", encodedKey);
        return request("/v3/kv/txn", body);
    }

    private static EtcdRequest request(String path, ObjectNode body) {
        try {
            return new EtcdRequest(path, MAPPER.writeValueAsBytes(body));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write the JSON body of a request to the store", e);
        }
    }
}
