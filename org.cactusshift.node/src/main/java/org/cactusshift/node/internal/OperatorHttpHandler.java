package org.cactusshift.node.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.cactusshift.config.Json;
import org.cactusshift.internal.coordination.key.ClientKey;
import org.cactusshift.internal.coordination.key.KeyHasher;
import org.cactusshift.internal.transport.http.HttpExchange;
import org.cactusshift.internal.transport.http.HttpHandler;

/**
 * Serves the operators' HTTP interface of a node: metrics, health, status and the dispatch decisions on a request.
 *
 * <p>Health, readiness and metrics need no key; other pages need the operator key if the settings hold its hash.
 */
public final class OperatorHttpHandler implements HttpHandler {
    private static final String BEARER = "Bearer ";
    private static final String EXPLAIN_PATH = "/explain/";
    private static final ContentType METRICS_TYPE = ContentType.parse(PrometheusTextFormatWriter.CONTENT_TYPE);

    private final PrometheusRegistry registry;
    private final KeyHasher hasher;
    private final Optional<String> operatorKeyHash;
    private final BooleanSupplier readiness;
    private final Supplier<Object> status;
    private final Function<String, Optional<Object>> decisionLookup;

    private OperatorHttpHandler(
            PrometheusRegistry registry,
            KeyHasher hasher,
            Optional<String> operatorKeyHash,
            BooleanSupplier readiness,
            Supplier<Object> status,
            Function<String, Optional<Object>> decisionLookup) {
        this.registry = registry;
        this.hasher = hasher;
        this.operatorKeyHash = operatorKeyHash;
        this.readiness = readiness;
        this.status = status;
        this.decisionLookup = decisionLookup;
    }

    /**
     * Returns a handler.
     *
     * @param registry the registry whose metrics are served
     * @param hasher hashes the key of a request
     * @param operatorKeyHash the hash of the operator key; if empty, no page needs a key
     * @param readiness tests whether the node accepts requests
     * @param status supplies the status, a value that is serialized as JSON
     * @param decisionLookup finds the recorded dispatch decisions on a request by its id, a value that is serialized as
     *     JSON; empty if there are none
     * @return the handler
     */
    public static OperatorHttpHandler create(
            PrometheusRegistry registry,
            KeyHasher hasher,
            Optional<String> operatorKeyHash,
            BooleanSupplier readiness,
            Supplier<Object> status,
            Function<String, Optional<Object>> decisionLookup) {
        return new OperatorHttpHandler(registry, hasher, operatorKeyHash, readiness, status, decisionLookup);
    }

    @Override
    public void handle(HttpExchange exchange) throws HttpException, IOException {
        String path = exchange.path();
        if (!exchange.method().equals("GET")) {
            exchange.submit(json(405, Map.of("error", "only GET is served here")));
        } else if (path.equals("/healthz")) {
            exchange.submit(json(200, Map.of("status", "ok")));
        } else if (path.equals("/readyz")) {
            boolean isReady = readiness.getAsBoolean();
            exchange.submit(json(isReady ? 200 : 503, Map.of("ready", isReady)));
        } else if (path.equals("/metrics")) {
            exchange.submit(metrics());
        } else if (!isOperator(exchange)) {
            exchange.submit(json(401, Map.of("error", "the operator key is missing or wrong")));
        } else {
            exchange.submit(operatorPage(path));
        }
    }

    private ClassicHttpResponse operatorPage(String path) {
        if (path.equals("/status")) {
            return json(200, status.get());
        }
        if (path.startsWith(EXPLAIN_PATH)) {
            return decisionLookup
                    .apply(path.substring(EXPLAIN_PATH.length()))
                    .map(explanations -> json(200, explanations))
                    .orElseGet(() -> json(404, Map.of("error", "this node has no decisions about the request")));
        }
        return json(404, Map.of("error", "no such page"));
    }

    private boolean isOperator(HttpExchange exchange) {
        if (operatorKeyHash.isEmpty()) {
            return true;
        }
        Optional<ClientKey> key = exchange.header("Authorization")
                .filter(value -> value.startsWith(BEARER))
                .flatMap(value -> ClientKey.parse(value.substring(BEARER.length())));
        return key.map(hasher::hash)
                .map(hash -> MessageDigest.isEqual(
                        hash.getBytes(StandardCharsets.US_ASCII),
                        operatorKeyHash.get().getBytes(StandardCharsets.US_ASCII)))
                .orElse(false);
    }

    private ClassicHttpResponse metrics() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrometheusTextFormatWriter.create().write(out, registry.scrape());
        return response(200, out.toByteArray(), METRICS_TYPE);
    }

    private static ClassicHttpResponse json(int status, Object value) {
        try {
            byte[] body = Json.mapper().writerWithDefaultPrettyPrinter().writeValueAsBytes(value);
            return response(status, body, ContentType.APPLICATION_JSON);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("could not serialize a page as JSON", e);
        }
    }

    private static ClassicHttpResponse response(int status, byte[] body, ContentType type) {
        BasicClassicHttpResponse response = new BasicClassicHttpResponse(status);
        response.setEntity(new ByteArrayEntity(body, type));
        return response;
    }
}
