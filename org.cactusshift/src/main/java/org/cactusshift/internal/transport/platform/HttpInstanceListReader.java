package org.cactusshift.internal.transport.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.cactusshift.config.Json;
import org.cactusshift.errors.Failure;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.internal.coordination.membership.ListedInstance;

/** Reads the platform's list of instances over HTTP. */
public final class HttpInstanceListReader {
    private static final String STEP = "read instance list";
    private static final String PATH = "/v1/instances";
    private static final String ENTRY = "entry";
    private static final String LEAVING = "leaving";

    private final PlatformHttpClient client;
    private final String address;

    private HttpInstanceListReader(PlatformHttpClient client, String address) {
        this.client = Objects.requireNonNull(client, "client");
        this.address = Objects.requireNonNull(address, "address");
    }

    /**
     * Creates a reader.
     *
     * @param client makes the HTTP calls
     * @param address the instance list interface, as {@code ADDRESS:PORT}
     * @return the reader
     */
    public static HttpInstanceListReader create(PlatformHttpClient client, String address) {
        return new HttpInstanceListReader(client, address);
    }

    /**
     * Reads the complete list. Blocks at most for the timeout of the HTTP client.
     *
     * @return the instances, or the failure; a list that is not JSON or has an invalid failure domain is rejected as a
     *     whole, JSON without a list of instances gives an empty list, and an instance of any kind but {@code entry} is
     *     an upstream
     */
    public Either<Failure, List<ListedInstance>> read() {
        return client.get(STEP, address, PATH).flatMap(this::parse);
    }

    private Either<Failure, List<ListedInstance>> parse(PlatformResponse response) {
        if (!response.isSuccess()) {
            return Either.left(Failure.noEffect(STEP, address, "status " + response.status()));
        }
        try {
            List<ListedInstance> instances = new ArrayList<>();
            for (JsonNode listed : Json.mapper().readTree(response.body()).path("instances")) {
                instances.add(parseInstance(listed));
            }
            return Either.right(instances);
        } catch (IOException | IllegalArgumentException e) {
            return Either.left(Failure.rejected(STEP, address, "malformed list: " + e.getMessage()));
        }
    }

    private static ListedInstance parseInstance(JsonNode listed) {
        boolean isEntry = listed.path("kind").asText().equals(ENTRY);
        return new ListedInstance(
                listed.path("instance_id").asText(),
                isEntry ? ListedInstance.Kind.ENTRY : ListedInstance.Kind.UPSTREAM,
                listed.path("address").asText(),
                listed.path("peer_address").asText(),
                FailureDomainId.fromString(listed.path("failure_domain").asText()),
                listed.path("state").asText().equals(LEAVING));
    }
}
