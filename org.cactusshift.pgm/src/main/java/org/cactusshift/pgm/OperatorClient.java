package org.cactusshift.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.cactusshift.config.Json;
import org.cactusshift.errors.CactusshiftException;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.transport.http.HttpClientExchange;
import org.cactusshift.internal.transport.http.HttpClientPool;
import org.cactusshift.internal.transport.http.HttpClientSettings;
import org.cactusshift.internal.transport.http.ResponseNeededCheck;

/**
 * Reads JSON resources from the operator interface of nodes.
 *
 * <p>The operator key comes from the environment variable {@code CACTUSSHIFT_OPERATOR_KEY}, so that no process list
 * shows it; without the variable no key is sent.
 */
final class OperatorClient implements AutoCloseable {
    /** Connect timeout, progress timeout, maximum connections per address, idle expiry; times in milliseconds. */
    private static final HttpClientSettings CLIENT_SETTINGS = new HttpClientSettings(2_000, 5_000, 4, 1_000);

    private static final int MAXIMUM_RESPONSE_BYTES = 4 * 1024 * 1024;
    private static final String KEY_VARIABLE = "CACTUSSHIFT_OPERATOR_KEY";

    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
    private final HttpClientPool pool = HttpClientPool.create(
            () -> CLIENT_SETTINGS, () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()), scheduler);

    private OperatorClient() {}

    static OperatorClient create() {
        return new OperatorClient();
    }

    /**
     * Returns the JSON body at a path.
     *
     * @param address the operator address of a node, as {@code IP:PORT}
     * @param path the path, such as {@code /status}
     * @return the body
     * @throws IOException if the node can't be reached or does not respond
     * @throws CactusshiftException if the node responds with an error status
     */
    JsonNode read(String address, String path) throws IOException, CactusshiftException {
        ClassicRequestBuilder request = ClassicRequestBuilder.get(path);
        String key = System.getenv(KEY_VARIABLE);
        if (key != null) {
            request.addHeader("Authorization", "Bearer " + key);
        }
        var sent = pool.send(address, request.build(), ResponseNeededCheck.ALWAYS_NEEDED);
        if (sent.isLeft()) {
            throw sent.getLeft();
        }
        try (HttpClientExchange exchange = sent.get()) {
            JsonNode body = Json.mapper().readTree(exchange.readAll(MAXIMUM_RESPONSE_BYTES));
            if (exchange.status() != HttpStatus.SC_OK) {
                String reason = body.path("error").asText("status " + exchange.status());
                throw new CactusshiftException(Failure.rejected("read operator interface", address, reason));
            }
            return body;
        }
    }

    @Override
    public void close() {
        pool.close();
        scheduler.shutdownNow();
    }
}
