package org.cactusshift.standin.site;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.cactusshift.standin.HttpStandIn;
import org.cactusshift.standin.StandInHandler;
import org.cactusshift.standin.StandInRequest;
import org.cactusshift.standin.StandInResponse;
import org.cactusshift.standin.StandInServer;

/**
 * Stand-in for the platform's metadata store: keys with revisions, conditional writes, leases and change history. It
 * can be restored from a copy, after which it states the next era.
 */
public final class SiteStore implements HttpStandIn, StandInHandler {
    private static final int GONE = 410;
    private static final int PRECONDITION_FAILED = 412;
    private static final int FORBIDDEN = 403;

    private final StandInServer server = StandInServer.create(0, this);
    private final ObjectMapper json = new ObjectMapper();
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 1;
    /** The history holds all changes from this revision on. */
    private long historyStartRevision = 1;

    private long nextLeaseId = 100;
    private long era = 1;

    /** A stored key; a lease id of 0 means none. */
    private record Item(String key, byte[] value, long revision, long createdRevision, long leaseId) {}

    /** A change of a key at a revision; the item is empty if the key was removed. */
    private record Change(String key, Optional<Item> item, long revision) {}

    private record Lease(long ttlMillis, long expiresAtNanos) {}

    /**
     * The content of the store at a moment.
     *
     * @param items the items
     * @param history the changes
     * @param leases the leases; after a restore each has its whole time to live again
     * @param revision the revision
     * @param historyStartRevision the first revision of the history
     * @param nextLeaseId the id of the next lease
     */
    private record Content(
            TreeMap<String, Item> items,
            List<Change> history,
            Map<Long, Lease> leases,
            long revision,
            long historyStartRevision,
            long nextLeaseId) {}

    /** A copy of the store, for {@link #restore}. */
    public static final class Copy {
        private final Content content;

        private Copy(Content content) {
            this.content = content;
        }
    }

    private SiteStore() {}

    /**
     * Returns a store, which listens once it is started.
     *
     * @return the store
     */
    public static SiteStore create() {
        return new SiteStore();
    }

    @Override
    public StandInServer server() {
        return server;
    }

    /**
     * Writes a key unconditionally, as the operator and the upstreams do.
     *
     * @param key the key
     * @param value the value, as text
     */
    public synchronized void put(String key, String value) {
        write(key, value.getBytes(StandardCharsets.UTF_8), 0);
        notifyAll();
    }

    /**
     * Removes a key.
     *
     * @param key the key; an absent one is ignored
     */
    public synchronized void remove(String key) {
        delete(key);
        notifyAll();
    }

    /**
     * Drops the change history: a watcher that has not seen all of it gets status 410 and has to read all keys again.
     */
    public synchronized void dropHistory() {
        history.clear();
        // A new revision, so that a watcher that has missed only the last change gets status 410 too.
        revision++;
        historyStartRevision = revision;
    }

    /**
     * Takes a copy.
     *
     * @return the copy
     */
    public synchronized Copy takeCopy() {
        expireLeases();
        return new Copy(new Content(
                new TreeMap<>(items),
                new ArrayList<>(history),
                new HashMap<>(leases),
                revision,
                historyStartRevision,
                nextLeaseId));
    }

    /**
     * Comes back from a copy: all later changes and leases are lost, revisions and lease ids are given out again, and
     * the era rises. What the operator and the upstreams wrote has to be written again by the caller.
     *
     * @param copy the copy
     */
    public synchronized void restore(Copy copy) {
        Content content = copy.content;
        items.clear();
        items.putAll(content.items());
        history.clear();
        history.addAll(content.history());
        leases.clear();
        content.leases()
                .forEach((id, lease) -> leases.put(id, new Lease(lease.ttlMillis(), expiry(lease.ttlMillis()))));
        revision = content.revision();
        historyStartRevision = content.historyStartRevision();
        nextLeaseId = content.nextLeaseId();
        era++;
        notifyAll();
    }

    private static long expiry(long ttlMillis) {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ttlMillis);
    }

    /**
     * Returns the revision of the last change.
     *
     * @return the revision
     */
    public synchronized long revision() {
        return revision;
    }

    /**
     * Returns the values of the keys with a prefix.
     *
     * @param prefix the prefix
     * @return the values by key, as text
     */
    public synchronized Map<String, String> values(String prefix) {
        expireLeases();
        Map<String, String> values = new TreeMap<>();
        items.forEach((key, item) -> {
            if (key.startsWith(prefix)) {
                values.put(key, new String(item.value(), StandardCharsets.UTF_8));
            }
        });
        return values;
    }

    @Override
    public StandInResponse handle(StandInRequest request) {
        String path = request.path();
        JsonNode body = body(request);
        if (path.equals("/-/kv-watch")) {
            return watch(request);
        }
        synchronized (this) {
            return withEra(handle(request, path, body));
        }
    }

    private StandInResponse withEra(StandInResponse response) {
        return response.withHeader("Store-Era", Long.toString(era));
    }

    private StandInResponse handle(StandInRequest request, String path, JsonNode body) {
        expireLeases();
        if (path.equals("/-/kv-range")) {
            return listRange(request.parameter("path_prefix").orElse(""));
        } else if (path.equals("/-/kv-key")) {
            return read(request.parameter("key").orElse(""));
        } else if (path.equals("/-/kv-txn")) {
            return transaction(body);
        } else if (path.equals("/-/kv-lease")) {
            return grantLease(body.path("ttl_ms").asLong());
        } else if (path.startsWith("/-/kv-keep/")) {
            return renewLease(Long.parseLong(request.pathSegments()[2]));
        } else if (path.startsWith("/-/kv-lease-end/")) {
            endLease(Long.parseLong(request.pathSegments()[2]));
            return StandInResponse.json(StandInResponse.OK, JsonNodeFactory.instance.objectNode());
        }
        return StandInResponse.error(StandInResponse.NOT_FOUND, "not_found");
    }

    private JsonNode body(StandInRequest request) {
        try {
            return request.body().isEmpty() ? json.createObjectNode() : json.readTree(request.body());
        } catch (JsonProcessingException e) {
            // A malformed body is handled as an empty one.
            return json.createObjectNode();
        }
    }

    /**
     * Returns the changes after a revision, or status 410 if the history no longer holds all of them; waits for the
     * first one until {@code wait_ms} has elapsed.
     */
    private StandInResponse watch(StandInRequest request) {
        String prefix = request.parameter("path_prefix").orElse("");
        long after = Long.parseLong(request.parameter("after").orElse("0"));
        long waitMillis = Long.parseLong(request.parameter("wait_ms").orElse("0"));
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
        synchronized (this) {
            while (true) {
                expireLeases();
                if (after < historyStartRevision - 1 || after > revision) {
                    return withEra(StandInResponse.error(GONE, "history_gone"));
                }
                ArrayNode events = events(prefix, after);
                long remainingMillis = TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
                if (!events.isEmpty() || remainingMillis <= 0) {
                    ObjectNode response = json.createObjectNode().put("current_rev", revision);
                    response.set("events", events);
                    return withEra(StandInResponse.json(StandInResponse.OK, response));
                }
                try {
                    wait(remainingMillis);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return StandInResponse.error(StandInResponse.UNAVAILABLE, "interrupted");
                }
            }
        }
    }

    private ArrayNode events(String prefix, long after) {
        ArrayNode events = json.createArrayNode();
        for (Change change : history) {
            if (change.revision() > after && change.key().startsWith(prefix)) {
                events.add(change.item()
                        .map(this::toJson)
                        .orElseGet(() -> json.createObjectNode()
                                .put("key", change.key())
                                .put("revision", change.revision())
                                .put("removed", true)));
            }
        }
        return events;
    }

    private ObjectNode toJson(Item item) {
        return json.createObjectNode()
                .put("key", item.key())
                .put("value", Base64.getEncoder().encodeToString(item.value()))
                .put("revision", item.revision())
                .put("created_rev", item.createdRevision())
                .put("lease", item.leaseId());
    }

    private StandInResponse listRange(String prefix) {
        ObjectNode response = json.createObjectNode().put("has_more", false).put("current_rev", revision);
        ArrayNode listed = response.putArray("items");
        items.values().stream().filter(item -> item.key().startsWith(prefix)).forEach(item -> listed.add(toJson(item)));
        return StandInResponse.json(StandInResponse.OK, response);
    }

    private StandInResponse read(String key) {
        Item item = items.get(key);
        return item == null
                ? StandInResponse.error(StandInResponse.NOT_FOUND, "not_found")
                : StandInResponse.json(StandInResponse.OK, toJson(item).put("current_rev", revision));
    }

    private StandInResponse transaction(JsonNode body) {
        ArrayNode found = json.createArrayNode();
        boolean conditionMet = true;
        for (JsonNode expected : body.path("expected")) {
            Item item = items.get(expected.path("key").asText());
            conditionMet &= expected.path("revision").asLong() == (item == null ? 0 : item.revision());
            if (item != null) {
                found.add(toJson(item));
            }
        }
        if (!conditionMet) {
            ObjectNode response = json.createObjectNode();
            response.set("items", found);
            return StandInResponse.json(PRECONDITION_FAILED, response);
        }
        for (JsonNode write : body.path("writes")) {
            String key = write.path("key").asText();
            long leaseId = write.path("lease").asLong();
            // The keys of the operator and of the upstreams are not for nodes to write.
            if (key.startsWith("op/") || key.startsWith("servers/")) {
                return StandInResponse.error(FORBIDDEN, "not_yours");
            }
            if (leaseId != 0 && !leases.containsKey(leaseId)) {
                return StandInResponse.error(StandInResponse.NOT_FOUND, "no_lease");
            }
            write(key, Base64.getDecoder().decode(write.path("value").asText()), leaseId);
        }
        body.path("remove").forEach(key -> delete(key.asText()));
        notifyAll();
        return StandInResponse.json(StandInResponse.OK, json.createObjectNode().put("revision", revision));
    }

    private void write(String key, byte[] value, long leaseId) {
        revision++;
        Item before = items.get(key);
        Item item = new Item(key, value, revision, before == null ? revision : before.createdRevision(), leaseId);
        items.put(key, item);
        history.add(new Change(key, Optional.of(item), revision));
    }

    private void delete(String key) {
        if (items.remove(key) != null) {
            revision++;
            history.add(new Change(key, Optional.empty(), revision));
        }
    }

    private StandInResponse grantLease(long ttlMillis) {
        long id = nextLeaseId++;
        leases.put(id, new Lease(ttlMillis, expiry(ttlMillis)));
        return StandInResponse.json(
                StandInResponse.OK, json.createObjectNode().put("lease", id).put("ttl_ms", ttlMillis));
    }

    private StandInResponse renewLease(long id) {
        Lease lease = leases.get(id);
        if (lease == null) {
            return StandInResponse.error(StandInResponse.NOT_FOUND, "no_lease");
        }
        long ttlMillis = lease.ttlMillis();
        leases.put(id, new Lease(ttlMillis, expiry(ttlMillis)));
        return StandInResponse.json(StandInResponse.OK, json.createObjectNode().put("ttl_ms", ttlMillis));
    }

    private void expireLeases() {
        long now = System.nanoTime();
        List<Long> expired = new ArrayList<>();
        leases.forEach((id, lease) -> {
            if (lease.expiresAtNanos() - now <= 0) {
                expired.add(id);
            }
        });
        expired.forEach(this::endLease);
    }

    private void endLease(long id) {
        leases.remove(id);
        List<String> keys = items.values().stream()
                .filter(item -> item.leaseId() == id)
                .map(Item::key)
                .toList();
        keys.forEach(this::delete);
        notifyAll();
    }
}
