package org.cactusshift.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.cactusshift.standin.StandInClient;
import org.cactusshift.standin.StandInResponse;

/** The KV caches that an engine holds for other engines; also fetches KV caches from other engines. */
final class KvExports implements AutoCloseable {
    /** The first segment of the path at which another engine fetches a KV cache. */
    static final String PATH_SEGMENT = "kv-blocks";

    private final Set<Long> exportedCacheIds = ConcurrentHashMap.newKeySet();

    private final AtomicLong lastCacheId = new AtomicLong();

    private final StandInClient client = StandInClient.create();

    /** Holds a KV cache for another engine and returns the transfer parameters for fetching it. */
    ObjectNode export(String engineId, String address) {
        long cacheId = lastCacheId.incrementAndGet();
        exportedCacheIds.add(cacheId);
        int colon = address.lastIndexOf(':');
        ObjectNode parameters = JsonNodeFactory.instance.objectNode();
        parameters.putArray("remote_block_ids").add(cacheId);
        return parameters
                .put("remote_engine_id", engineId)
                .put("remote_host", address.substring(0, colon))
                .put("remote_port", Integer.parseInt(address.substring(colon + 1)));
    }

    /** Releases a KV cache as another engine fetches it, which works once; returns whether it was held. */
    boolean release(String cacheId) {
        try {
            return exportedCacheIds.remove(Long.parseLong(cacheId));
        } catch (NumberFormatException e) {
            return false;
        }
    }

    /**
     * Fetches the KV cache that a request names. Returns the number of prompt tokens that it covers; 0 if the request
     * names none or the fetch fails.
     */
    int fetch(GenerateRequest request) {
        JsonNode parameters = request.kvTransferParameters();
        JsonNode cacheId = parameters.path("remote_block_ids").path(0);
        if (cacheId.isMissingNode()) {
            return 0;
        }
        String address = parameters.path("remote_host").asText() + ":"
                + parameters.path("remote_port").asText();
        try {
            boolean fetched = client.get(address, "/" + PATH_SEGMENT + "/" + cacheId.asText())
                            .status()
                    == StandInResponse.OK;
            return fetched ? request.promptTokens() : 0;
        } catch (IOException e) {
            return 0;
        }
    }

    void clear() {
        exportedCacheIds.clear();
    }

    @Override
    public void close() {
        client.close();
    }
}
