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

    private final PlatformHttpClient calls;
    private final String address;

    private HttpInstanceListReader(PlatformHttpClient calls, String address) {
        this.calls = Objects.requireNonNull(calls, "calls");
        this.address = Objects.requireNonNull(address, "address");
    }

    /**
     * Returns a reader.
     *
     * @param calls makes the calls
     * @param address the list, as {@code ADDRESS:PORT}
     * @return the reader
     */
    public static HttpInstanceListReader create(PlatformHttpClient calls, String address) {
        return new HttpInstanceListReader(calls, address);
    }

    /**
     * Reads the whole list; blocks for a bounded time.
     *
     * @return the instances, or the failure; a list with a malformed entry is rejected as a whole
     */
    public Either<Failure, List<ListedInstance>> read() {
        return calls.get(STEP, address, PATH).flatMap(this::parse);
    }

    private Either<Failure, List<ListedInstance>> parse(PlatformResponse answer) {
        if (!answer.isSuccess()) {
            return Either.left(Failure.noEffect(STEP, address, "status " + answer.status()));
        }
        try {
            List<ListedInstance> instances = new ArrayList<>();
            for (JsonNode entry : Json.mapper().readTree(answer.body()).path("instances")) {
                instances.add(parseEntry(entry));
            }
            return Either.right(instances);
        } catch (IOException | IllegalArgumentException e) {
            return Either.left(Failure.rejected(STEP, address, "malformed list: " + e.getMessage()));
        }
    }

    private static ListedInstance parseEntry(JsonNode entry) {
        boolean isEntry = entry.path("kind").asText().equals(ENTRY);
        return new ListedInstance(
                entry.path("instance_id").asText(),
                isEntry ? ListedInstance.Kind.ENTRY : ListedInstance.Kind.UPSTREAM,
                entry.path("address").asText(),
                entry.path("peer_address").asText(),
                FailureDomainId.fromString(entry.path("failure_domain").asText()),
                entry.path("state").asText().equals(LEAVING));
    }
}
