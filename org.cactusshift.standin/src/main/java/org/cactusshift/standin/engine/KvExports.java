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
    static final String PATH = "kv-blocks";

    private final Set<Long> exportedBlocks = ConcurrentHashMap.newKeySet();

    private final AtomicLong lastBlockId = new AtomicLong();

    private final StandInClient client = StandInClient.create();

    /** Holds a KV cache for another engine and returns the transfer parameters for fetching it. */
    ObjectNode export(String engineId, String address) {
        long block = lastBlockId.incrementAndGet();
        exportedBlocks.add(block);
        int colon = address.lastIndexOf(':');
        ObjectNode parameters = JsonNodeFactory.instance.objectNode();
        parameters.putArray("remote_block_ids").add(block);
        return parameters
                .put("remote_engine_id", engineId)
                .put("remote_host", address.substring(0, colon))
                .put("remote_port", Integer.parseInt(address.substring(colon + 1)));
    }

    /** Releases a KV cache, which can be fetched once; returns false if it is not held. */
    boolean release(String block) {
        try {
            return exportedBlocks.remove(Long.parseLong(block));
        } catch (NumberFormatException e) {
            return false;
        }
    }

    /** Fetches the KV cache that a request names and returns the number of prompt tokens that it covers. */
    int fetchTokens(GenerateRequest request) {
        JsonNode parameters = request.kvTransferParameters();
        JsonNode block = parameters.path("remote_block_ids").path(0);
        if (block.isMissingNode()) {
            return 0;
        }
        String address = parameters.path("remote_host").asText() + ":"
                + parameters.path("remote_port").asText();
        try {
            boolean fetched =
                    client.get(address, "/" + PATH + "/" + block.asText()).status() == StandInResponse.OK;
            return fetched ? request.promptTokens() : 0;
        } catch (IOException e) {
            return 0;
        }
    }

    void clear() {
        exportedBlocks.clear();
    }

    @Override
    public void close() {
        client.close();
    }
}
