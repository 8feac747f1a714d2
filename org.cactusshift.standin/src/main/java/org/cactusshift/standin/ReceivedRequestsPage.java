package org.cactusshift.standin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;

/**
 * Serves a JSON page with the requests and headers that each upstream received.
 *
 * <p>{@code GET /} returns {@code {"upstreams": [{"upstream", "address", "header_names": [..], "requests": [{"method",
 * "path", "outcome", "headers": {..}}]}]}}. The header names are those of all received requests; the requests leave out
 * polls of {@code /load} and {@code /cache-events}. The page is a {@link StandIn} only to share its server and
 * lifecycle.
 */
public final class ReceivedRequestsPage implements HttpStandIn, StandInHandler {
    private static final Set<String> POLLED_PATHS = Set.of("/load", "/cache-events");

    private final StandInServer server;

    private final Supplier<Map<String, StandIn>> upstreams;

    private ReceivedRequestsPage(int port, Supplier<Map<String, StandIn>> upstreams) {
        this.server = StandInServer.create(port, this);
        this.upstreams = upstreams;
    }

    /**
     * Creates a page, which listens once it is started.
     *
     * @param port the port; 0 lets the operating system choose
     * @param upstreams supplies the current upstreams by name
     * @return the page
     */
    public static ReceivedRequestsPage create(int port, Supplier<Map<String, StandIn>> upstreams) {
        return new ReceivedRequestsPage(port, upstreams);
    }

    @Override
    public StandInServer server() {
        return server;
    }

    @Override
    public StandInResponse handle(StandInRequest request) {
        if (!request.path().equals("/")) {
            return StandInResponse.error(StandInResponse.NOT_FOUND, "not_found");
        }
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        ArrayNode listed = root.putArray("upstreams");
        upstreams.get().forEach((name, upstream) -> listed.add(toJson(name, upstream)));
        return StandInResponse.json(StandInResponse.OK, root);
    }

    private static ObjectNode toJson(String name, StandIn upstream) {
        ObjectNode root =
                JsonNodeFactory.instance.objectNode().put("upstream", name).put("address", upstream.address());
        Set<String> names = new TreeSet<>();
        ArrayNode requests = JsonNodeFactory.instance.arrayNode();
        for (ReceivedRequest received : upstream.log().all()) {
            names.addAll(received.headers().keySet());
            if (!POLLED_PATHS.contains(received.path())) {
                requests.add(toJson(received));
            }
        }
        ArrayNode headerNames = root.putArray("header_names");
        names.forEach(headerNames::add);
        root.set("requests", requests);
        return root;
    }

    private static ObjectNode toJson(ReceivedRequest received) {
        ObjectNode root = JsonNodeFactory.instance
                .objectNode()
                .put("method", received.method())
                .put("path", received.path())
                .put("outcome", received.outcome().name());
        ObjectNode headers = root.putObject("headers");
        received.headers().forEach(headers::put);
        return root;
    }
}
