package org.cactusshift.systemtest;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.cactusshift.config.Json;
import org.cactusshift.config.NodeSettings;
import org.cactusshift.standin.StandInClient;

/**
 * A node of a site and its process.
 *
 * @param settings the settings of the node
 * @param process the process of the node
 */
record SiteNode(NodeSettings settings, NodeProcess process) {
    String callerAddress() {
        return settings.callerAddress();
    }

    String name() {
        return settings.instanceId().value();
    }

    /** Returns the JSON of the node's status endpoint. */
    JsonNode status(StandInClient client) throws IOException {
        return Json.mapper()
                .readTree(client.get(settings.operatorAddress(), "/status").text());
    }

    /** Returns the duties that the node reports as held, as KIND/SHARD. */
    List<String> duties(StandInClient client) throws IOException {
        List<String> duties = new ArrayList<>();
        status(client).path("duties").forEach(duty -> duties.add(duty.asText()));
        return duties;
    }
}
