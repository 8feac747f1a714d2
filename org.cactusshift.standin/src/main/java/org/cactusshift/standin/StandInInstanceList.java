package org.cactusshift.standin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Stand-in for the platform's list of instances, which publishes each change after a lag. */
public final class StandInInstanceList implements HttpStandIn, StandInHandler {
    private static final String PATH = "/v1/instances";

    private final StandInServer server;

    private final long lagMillis;

    /** The versions of the list, oldest first; the first one is published. */
    private final Deque<Version> versions = new ArrayDeque<>();

    private StandInInstanceList(int port, long lagMillis) {
        this.server = StandInServer.create(port, this);
        this.lagMillis = lagMillis;
        versions.add(new Version(nowMillis(), Map.of()));
    }

    /**
     * Creates an empty list, which listens once it is started.
     *
     * @param port the port; 0 lets the operating system choose
     * @param lagMillis the lag after which a change is published, in milliseconds
     * @return the list
     */
    public static StandInInstanceList create(int port, long lagMillis) {
        return new StandInInstanceList(port, lagMillis);
    }

    @Override
    public StandInServer server() {
        return server;
    }

    /**
     * Adds an instance or replaces its entry.
     *
     * @param entry the entry
     */
    public synchronized void put(InstanceEntry entry) {
        Map<String, InstanceEntry> entries =
                new LinkedHashMap<>(versions.getLast().entries());
        entries.put(entry.instanceId(), entry);
        versions.addLast(new Version(nowMillis(), entries));
    }

    /**
     * Marks an instance as leaving.
     *
     * @param instanceId the instance; an unknown one is ignored
     */
    public synchronized void markLeaving(String instanceId) {
        InstanceEntry entry = versions.getLast().entries().get(instanceId);
        if (entry != null) {
            put(entry.withState(InstanceEntry.State.LEAVING));
        }
    }

    /**
     * Removes an instance.
     *
     * @param instanceId the instance; an unknown one is ignored
     */
    public synchronized void remove(String instanceId) {
        Map<String, InstanceEntry> entries =
                new LinkedHashMap<>(versions.getLast().entries());
        entries.remove(instanceId);
        versions.addLast(new Version(nowMillis(), entries));
    }

    @Override
    public StandInResponse handle(StandInRequest request) {
        if (!request.method().equals("GET") || !request.path().equals(PATH)) {
            return StandInResponse.error(StandInResponse.NOT_FOUND, "not_found");
        }
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        ArrayNode instances = root.putArray("instances");
        publishedEntries().values().forEach(entry -> instances.add(toJson(entry)));
        return StandInResponse.json(StandInResponse.OK, root);
    }

    private synchronized Map<String, InstanceEntry> publishedEntries() {
        long newestPublishedMillis = nowMillis() - lagMillis;
        while (versions.size() > 1 && secondVersion().changedAtMillis() <= newestPublishedMillis) {
            versions.removeFirst();
        }
        return versions.getFirst().entries();
    }

    private Version secondVersion() {
        return versions.stream().skip(1).findFirst().orElseThrow();
    }

    private static ObjectNode toJson(InstanceEntry entry) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("instance_id", entry.instanceId())
                .put("kind", entry.kind().name().toLowerCase(Locale.ROOT))
                .put("address", entry.address())
                .put("peer_address", entry.peerAddress())
                .put("failure_domain", entry.failureDomain())
                .put("state", entry.state().name().toLowerCase(Locale.ROOT));
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private record Version(long changedAtMillis, Map<String, InstanceEntry> entries) {}
}
