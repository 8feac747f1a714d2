package org.cactusshift.standin.site;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cactusshift.standin.HttpStandIn;
import org.cactusshift.standin.StandInHandler;
import org.cactusshift.standin.StandInRequest;
import org.cactusshift.standin.StandInResponse;
import org.cactusshift.standin.StandInServer;
import org.cactusshift.standin.link.TcpRelay;

/**
 * A {@link SiteStore} as one node sees it: in the entries of upstreams, each address is that of a relay, so that the
 * links of this node to its upstreams can be cut while those of other nodes work.
 */
public final class SiteStoreView implements HttpStandIn, StandInHandler {
    private static final String UPSTREAM_PREFIX = "servers/";

    private final SiteStore store;
    private final StandInServer server = StandInServer.create(0, this);
    private final ObjectMapper json = new ObjectMapper();
    private final Map<String, TcpRelay> relayByAddress = new HashMap<>();

    private SiteStoreView(SiteStore store) {
        this.store = store;
    }

    /**
     * Returns a view, which listens once it is started.
     *
     * @param store the store
     * @return the view
     */
    public static SiteStoreView of(SiteStore store) {
        return new SiteStoreView(store);
    }

    @Override
    public StandInServer server() {
        return server;
    }

    /**
     * Returns the relays to the upstreams that the node has read so far.
     *
     * @return the relays
     */
    public synchronized List<TcpRelay> upstreamLinks() {
        return new ArrayList<>(relayByAddress.values());
    }

    @Override
    public StandInResponse handle(StandInRequest request) throws IOException {
        if (store.faults().isUnavailable()) {
            return refuse(request);
        }
        StandInResponse response = store.handle(request);
        if (response.status() != StandInResponse.OK) {
            return response;
        }
        JsonNode body = json.readTree(response.body());
        for (String list : List.of("items", "events")) {
            for (JsonNode item : body.path(list)) {
                if (item.path("key").asText().startsWith(UPSTREAM_PREFIX) && item.has("value")) {
                    replaceAddress((ObjectNode) item);
                }
            }
        }
        return StandInResponse.json(StandInResponse.OK, body);
    }

    private void replaceAddress(ObjectNode item) throws IOException {
        byte[] value = Base64.getDecoder().decode(item.path("value").asText());
        ObjectNode entry = (ObjectNode) json.readTree(value);
        entry.put("address", relayAddress(entry.path("address").asText()));
        byte[] replaced = entry.toString().getBytes(StandardCharsets.UTF_8);
        item.put("value", Base64.getEncoder().encodeToString(replaced));
    }

    private synchronized String relayAddress(String address) throws IOException {
        TcpRelay relay = relayByAddress.get(address);
        if (relay == null) {
            relay = TcpRelay.start(address);
            relayByAddress.put(address, relay);
        }
        return relay.address();
    }

    @Override
    public void close() {
        server.close();
        for (TcpRelay relay : upstreamLinks()) {
            try {
                relay.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }
}
