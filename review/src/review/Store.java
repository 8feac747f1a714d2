package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store as PROTOCOL.md describes it; it can come back from a copy (news page). */
final class Store {
    record Item(String key, byte[] value, long revision, long createdRevision, long lease) {}

    private record Change(String key, Item item, long revision) {}

    private record Lease(long ttlMillis, long endNanos) {}

    private record Copy(
            long takenNanos, TreeMap<String, Item> items, List<Change> history, Map<Long, Lease> leases, long revision) {}

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long HISTORY_MILLIS = 20_000;
    private final Record record;
    private final Http.Server server;
    private final List<Http.Server> links = new ArrayList<>();
    private TreeMap<String, Item> items = new TreeMap<>();
    private List<Change> history = new ArrayList<>();
    private Map<Long, Lease> leases = new HashMap<>();
    private final ArrayDeque<Copy> copies = new ArrayDeque<>();
    private long revision = 1;
    private long nextLease = 100;
    private int era = 1;
    private volatile boolean away;

    Store(Record record) throws IOException {
        this.record = record;
        this.server = new Http.Server(this::handle);
        Http.daemon(() -> {
            while (true) {
                Http.sleep(100);
                takeCopy();
            }
        });
    }

    String address() {
        return server.address();
    }

    /** Returns a further address of the store, for one machine, which can be cut off there. */
    Http.Server newLink() throws IOException {
        Http.Server link = new Http.Server(this::handle);
        links.add(link);
        return link;
    }

    synchronized long revision() {
        return revision;
    }

    private synchronized void takeCopy() {
        if (away) {
            return;
        }
        expire();
        copies.addLast(new Copy(
                System.nanoTime(), new TreeMap<>(items), new ArrayList<>(history), new HashMap<>(leases), revision));
        while (copies.size() > 200) {
            copies.removeFirst();
        }
    }

    /** The store is away: calls are cut, and what the operator or an engine writes waits at its writer. */
    synchronized void leave() {
        away = true;
        setRefusing(true);
        record.note("store: away at revision " + revision);
    }

    /** The store is away without a sign: calls get no answer on their connections any more. */
    synchronized void fallSilent() {
        away = true;
        record.note("store: silent at revision " + revision);
    }

    private void setRefusing(boolean value) {
        server.setRefusing(value);
    }

    /**
     * Comes back from a copy of the given age at the time of leaving. Leases of the copy run on as they did when it was
     * taken if they pause; otherwise their time has passed too.
     */
    synchronized void comeBack(long leftNanos, long ageMillis, boolean leasesPause) {
        Copy copy = null;
        for (Copy candidate : copies) {
            if (candidate.takenNanos() <= leftNanos - ageMillis * 1_000_000) {
                copy = candidate;
            }
        }
        if (copy == null) {
            throw new IllegalStateException("no copy is that old");
        }
        items = new TreeMap<>(copy.items());
        history = new ArrayList<>(copy.history());
        long before = revision;
        revision = copy.revision();
        leases = new HashMap<>();
        long now = System.nanoTime();
        long shiftNanos = leasesPause ? now - copy.takenNanos() : 0;
        for (Map.Entry<Long, Lease> lease : copy.leases().entrySet()) {
            leases.put(
                    lease.getKey(),
                    new Lease(lease.getValue().ttlMillis(), lease.getValue().endNanos() + shiftNanos));
        }
        copies.clear();
        era++;
        expire();
        away = false;
        setRefusing(false);
        record.note("store: back from a copy, revision " + copy.revision() + " instead of " + before + ", Store-Era " + era);
    }

    /** Comes back with all that it had. */
    synchronized void comeBackWhole() {
        away = false;
        setRefusing(false);
        record.note("store: back");
    }

    boolean isAway() {
        return away;
    }

    /** A write of the operator or of an engine; false while the store is away. */
    synchronized boolean put(String key, String value) {
        if (away) {
            return false;
        }
        expire();
        write(key, value.getBytes(StandardCharsets.UTF_8), 0);
        return true;
    }

    synchronized boolean remove(String key) {
        if (away) {
            return false;
        }
        delete(key);
        return true;
    }

    synchronized Map<String, String> values(String prefix) {
        Map<String, String> values = new TreeMap<>();
        items.forEach((key, item) -> {
            if (key.startsWith(prefix)) {
                values.put(key, new String(item.value(), StandardCharsets.UTF_8));
            }
        });
        return values;
    }

    private void write(String key, byte[] value, long lease) {
        revision++;
        Item before = items.get(key);
        Item item = new Item(key, value, revision, before == null ? revision : before.createdRevision(), lease);
        items.put(key, item);
        history.add(new Change(key, item, revision));
    }

    private void delete(String key) {
        if (items.remove(key) != null) {
            revision++;
            history.add(new Change(key, null, revision));
        }
    }

    private void expire() {
        long now = System.nanoTime();
        List<Long> ended = new ArrayList<>();
        leases.forEach((id, lease) -> {
            if (lease.endNanos() - now <= 0) {
                ended.add(id);
            }
        });
        ended.forEach(this::endLease);
    }

    private void endLease(long id) {
        leases.remove(id);
        for (Item item : new ArrayList<>(items.values())) {
            if (item.lease() == id) {
                delete(item.key());
            }
        }
    }

    private void handle(Http.Message request, Socket socket) throws IOException {
        if (away) {
            // A connection on which a response is lost returns nothing further.
            Http.sleep(20_000);
            socket.close();
            return;
        }
        String target = request.target();
        int question = target.indexOf('?');
        String path = question < 0 ? target : target.substring(0, question);
        Map<String, String> query = new HashMap<>();
        if (question >= 0) {
            for (String pair : target.substring(question + 1).split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
            }
        }
        JsonNode body = request.body().length == 0 ? JSON.createObjectNode() : JSON.readTree(request.body());
        if (path.equals("/-/kv-watch")) {
            watch(query, socket);
            return;
        }
        int status = 200;
        ObjectNode answer = JSON.createObjectNode();
        int currentEra;
        synchronized (this) {
            expire();
            currentEra = era;
            if (path.equals("/-/kv-key")) {
                Item item = items.get(query.get("key"));
                status = item == null ? 404 : 200;
                if (item != null) {
                    answer = json(item).put("current_rev", revision);
                }
            } else if (path.equals("/-/kv-range")) {
                ArrayNode listed = answer.putArray("items");
                items.values().stream()
                        .filter(item -> item.key().startsWith(query.getOrDefault("path_prefix", "")))
                        .forEach(item -> listed.add(json(item)));
                answer.put("has_more", false).put("current_rev", revision);
            } else if (path.equals("/-/kv-txn")) {
                status = transaction(body, answer);
            } else if (path.equals("/-/kv-lease")) {
                long ttl = body.path("ttl_ms").asLong();
                long id = nextLease++;
                leases.put(id, new Lease(ttl, System.nanoTime() + ttl * 1_000_000));
                answer.put("lease", id).put("ttl_ms", ttl);
            } else if (path.startsWith("/-/kv-keep/")) {
                long id = Long.parseLong(path.substring("/-/kv-keep/".length()));
                Lease lease = leases.get(id);
                status = lease == null ? 404 : 200;
                if (lease != null) {
                    leases.put(id, new Lease(lease.ttlMillis(), System.nanoTime() + lease.ttlMillis() * 1_000_000));
                    answer.put("ttl_ms", lease.ttlMillis());
                }
            } else if (path.startsWith("/-/kv-lease-end/")) {
                endLease(Long.parseLong(path.substring("/-/kv-lease-end/".length())));
            } else {
                status = 404;
            }
        }
        Http.respond(socket, status, headers(currentEra), answer.toString());
    }

    private static String headers(int currentEra) {
        return "Content-Type: application/json\r\nStore-Era: " + currentEra + "\r\n";
    }

    private void watch(Map<String, String> query, Socket socket) throws IOException {
        String prefix = query.getOrDefault("path_prefix", "");
        long after = Long.parseLong(query.getOrDefault("after", "0"));
        long endNanos = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
        while (true) {
            int status = 0;
            ObjectNode answer = JSON.createObjectNode();
            int currentEra;
            synchronized (this) {
                expire();
                currentEra = era;
                if (after > revision) {
                    // A revision that the store doesn't have.
                    status = 410;
                } else {
                    ArrayNode events = answer.putArray("events");
                    for (Change change : history) {
                        if (change.revision() > after && change.key().startsWith(prefix)) {
                            events.add(
                                    change.item() != null
                                            ? json(change.item())
                                            : JSON.createObjectNode()
                                                    .put("key", change.key())
                                                    .put("revision", change.revision())
                                                    .put("removed", true));
                        }
                    }
                    answer.put("current_rev", revision);
                    if (events.size() > 0 || System.nanoTime() >= endNanos) {
                        status = 200;
                    }
                }
            }
            if (status != 0) {
                Http.respond(socket, status, headers(currentEra), answer.toString());
                return;
            }
            Http.sleep(10);
        }
    }

    private int transaction(JsonNode body, ObjectNode answer) throws IOException {
        ArrayNode found = JSON.createArrayNode();
        boolean met = true;
        for (JsonNode expected : body.path("expected")) {
            Item item = items.get(expected.path("key").asText());
            met &= expected.path("revision").asLong() == (item == null ? 0 : item.revision());
            if (item != null) {
                found.add(json(item));
            }
        }
        if (!met) {
            answer.set("items", found);
            return 412;
        }
        for (JsonNode write : body.path("writes")) {
            long lease = write.path("lease").asLong();
            String key = write.path("key").asText();
            if (key.startsWith("op/") || key.startsWith("servers/")) {
                return 403;
            }
            if (lease != 0 && !leases.containsKey(lease)) {
                return 404;
            }
        }
        for (JsonNode write : body.path("writes")) {
            String key = write.path("key").asText();
            write(key, Base64.getDecoder().decode(write.path("value").asText()), write.path("lease").asLong());
            if (!key.contains("/node/") && !key.contains("/endpoint/")) {
                record.line("store: a node wrote " + key + " = "
                        + new String(items.get(key).value(), StandardCharsets.UTF_8) + " at revision " + revision);
            }
        }
        body.path("remove").forEach(key -> delete(key.asText()));
        answer.put("revision", revision);
        return 200;
    }

    private static ObjectNode json(Item item) {
        return JSON.createObjectNode()
                .put("key", item.key())
                .put("value", Base64.getEncoder().encodeToString(item.value()))
                .put("revision", item.revision())
                .put("created_rev", item.createdRevision())
                .put("lease", item.lease());
    }
}
