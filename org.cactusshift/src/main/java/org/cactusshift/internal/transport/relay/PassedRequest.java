package org.cactusshift.internal.transport.relay;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonWriteFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.serving.PeerToken;
import org.cactusshift.internal.coordination.serving.RequestKind;
import org.cactusshift.internal.coordination.serving.ServedRoute;

/**
 * What a node tells a peer about a request that it passes on: what its own configuration decides, so that the request
 * is checked in one version, by the node that the caller chose.
 *
 * @param route the route; of its services, host and path nothing is told
 * @param service the service
 * @param account the client account, empty when the route needs no key
 * @param priority the priority
 * @param configVersion the version of the configuration that decided
 * @param elapsedMillis the time since the request arrived
 * @param remainingMillis the time until its response is due
 */
record PassedRequest(
        ServedRoute route,
        ServiceId service,
        Optional<AccountId> account,
        int priority,
        long configVersion,
        long elapsedMillis,
        long remainingMillis) {
    private static final String TOKEN_HEADER = "Peer-Token";
    private static final String REQUEST_HEADER = "Peer-Request";

    /** Names the upstream in the response to a passed request. */
    private static final String UPSTREAM_HEADER = "Peer-Upstream";

    /** Header values must not contain characters beyond ASCII. */
    private static final ObjectMapper JSON =
            JsonMapper.builder().enable(JsonWriteFeature.ESCAPE_NON_ASCII).build();

    /** Adds the headers by which a peer recognises and understands the request. */
    void writeTo(HttpHeaders headers, PeerToken token) {
        ObjectNode json = JSON.createObjectNode()
                .put("route", route.name())
                .put("kind", route.kind().name())
                .put("timeoutMillis", route.timeoutMillis())
                .put("targetLatencyMillis", route.targetLatencyMillis())
                .put("targetEventGapMillis", route.targetEventGapMillis())
                .put("maximumAttempts", route.maximumAttempts())
                .put("resumable", route.resumable())
                .put("service", service.value())
                .put("priority", priority)
                .put("configVersion", configVersion)
                .put("elapsedMillis", elapsedMillis)
                .put("remainingMillis", remainingMillis);
        account.ifPresent(known -> json.put("account", known.value()));
        headers.set(TOKEN_HEADER, token.value());
        try {
            headers.set(REQUEST_HEADER, JSON.writeValueAsString(json));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write a tree as JSON", e);
        }
    }

    /** Names the upstream whose response these headers belong to. */
    static void writeUpstream(HttpHeaders headers, UpstreamId upstream) {
        headers.set(UPSTREAM_HEADER, upstream.value());
    }

    /** Removes the name of the upstream; empty when a peer responded itself. */
    static Optional<UpstreamId> removeUpstream(HttpHeaders headers) {
        String text = headers.get(UPSTREAM_HEADER);
        headers.remove(UPSTREAM_HEADER);
        return Optional.ofNullable(text).map(UpstreamId::fromString);
    }

    /** Removes the token of a passed request; returns the token, null when there is none. */
    static String removeToken(HttpHeaders headers) {
        String token = headers.get(TOKEN_HEADER);
        headers.remove(TOKEN_HEADER);
        return token;
    }

    /** Removes and decodes the description of a passed request; empty when it is missing or malformed. */
    static Optional<PassedRequest> removeFrom(HttpHeaders headers) {
        String text = headers.get(REQUEST_HEADER);
        headers.remove(REQUEST_HEADER);
        try {
            JsonNode json = JSON.readTree(text == null ? "" : text);
            ServedRoute route = new ServedRoute(
                    json.path("route").asText(),
                    "",
                    "",
                    RequestKind.valueOf(json.path("kind").asText()),
                    List.of(),
                    json.path("timeoutMillis").asLong(),
                    json.path("targetLatencyMillis").asLong(),
                    json.path("targetEventGapMillis").asLong(),
                    json.path("priority").asInt(),
                    json.path("maximumAttempts").asInt(),
                    !json.has("account"),
                    json.path("resumable").asBoolean());
            return Optional.of(new PassedRequest(
                    route,
                    ServiceId.fromString(json.path("service").asText()),
                    json.has("account")
                            ? Optional.of(
                                    AccountId.fromString(json.path("account").asText()))
                            : Optional.empty(),
                    json.path("priority").asInt(),
                    json.path("configVersion").asLong(),
                    json.path("elapsedMillis").asLong(),
                    json.path("remainingMillis").asLong()));
        } catch (JsonProcessingException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
