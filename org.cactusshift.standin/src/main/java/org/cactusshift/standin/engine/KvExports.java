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

/** The KV caches that an engine holds for others, and the way to fetch one from another engine. */
final class KvExports implements AutoCloseable {
    /** The first segment of the path by which another engine fetches a cache. */
    static final String PATH = "kv-blocks";

    private final Set<Long> exportedBlocks = ConcurrentHashMap.newKeySet();

    private final AtomicLong lastBlockId = new AtomicLong();

    private final StandInClient client = StandInClient.create();

    /** Holds a cache for another engine and returns the parameters by which it is fetched. */
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

    /** Gives a cache away; it can be fetched once. */
    boolean release(String block) {
        try {
            return exportedBlocks.remove(Long.parseLong(block));
        } catch (NumberFormatException e) {
            return false;
        }
    }

    /** Returns how many prompt tokens of a request need no processing, as their cache was fetched. */
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
