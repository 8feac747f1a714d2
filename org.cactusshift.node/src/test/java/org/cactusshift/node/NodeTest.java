package org.cactusshift.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.cactusshift.internal.transport.http.HttpClientExchange;
import org.cactusshift.internal.transport.http.HttpClientPool;
import org.cactusshift.internal.transport.http.HttpClientSettings;
import org.cactusshift.internal.transport.http.ResponseNeededCheck;
import org.cactusshift.standin.StandInPlainService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests three nodes of a site together: claims across nodes, key revocation, operator pages. */
class NodeTest {
    private static final int MAXIMUM_RESPONSE_BYTES = 1_000_000;

    private final LongSupplier monotonicMillis = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(1);
    // Connect and progress timeout in ms, connections to one address, idle expiry in ms.
    private final HttpClientPool pool =
            HttpClientPool.create(() -> new HttpClientSettings(1_000, 30_000, 64, 1_000), monotonicMillis, scheduler);
    private LocalSite site;

    @BeforeEach
    void startSite() throws Exception {
        site = LocalSite.start(3);
    }

    @AfterEach
    void stopSite() {
        pool.close();
        scheduler.shutdownNow();
        site.close();
    }

    private record Response(int status, String body, String outcome) {}

    private Response sendPayout(Node node, String payment, String body) throws Exception {
        var request = ClassicRequestBuilder.post("/services/settle-app/payouts")
                .addHeader("Authorization", "Bearer " + site.bearerToken())
                .addHeader("Idempotency-Key", payment)
                .setEntity(body, ContentType.APPLICATION_JSON)
                .build();
        return send(node.callerAddress(), request);
    }

    private Response send(String address, ClassicHttpRequest request) throws Exception {
        try (HttpClientExchange exchange =
                pool.send(address, request, ResponseNeededCheck.ALWAYS_NEEDED).get()) {
            String body = new String(exchange.readAll(MAXIMUM_RESPONSE_BYTES), StandardCharsets.UTF_8);
            return new Response(
                    exchange.status(),
                    body,
                    exchange.header("x-cactusshift-outcome").orElse(""));
        }
    }

    private Map<String, Integer> executionCountByPaymentId() {
        return StandInPlainService.executionCountByPaymentId(site.platform().plainInstances());
    }

    @Test
    void repeatedPayoutAtAnotherNodeReturnsRecordedOutcome() throws Exception {
        Response first = sendPayout(site.nodes().get(0), "p-1", "{\"payment_id\":\"p-1\"}");
        LocalSite.await(() -> returnsRecordedOutcome("p-1"));
        Response replayed = sendPayout(site.nodes().get(1), "p-1", "{\"payment_id\":\"p-1\"}");

        assertEquals(200, first.status());
        assertEquals(first.body(), replayed.body());
        assertEquals(Map.of("p-1", 1), executionCountByPaymentId());
    }

    private boolean returnsRecordedOutcome(String payment) {
        try {
            return sendPayout(site.nodes().get(2), payment, "{\"payment_id\":\"" + payment + "\"}")
                            .status()
                    == 200;
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void refusesIdempotencyKeyReusedWithAnotherBody() throws Exception {
        sendPayout(site.nodes().get(0), "p-2", "{\"payment_id\":\"p-2\"}");
        Response reused = sendPayout(site.nodes().get(1), "p-2", "{\"payment_id\":\"p-3\"}");

        assertEquals(422, reused.status(), reused.body());
        assertEquals("not-run", reused.outcome());
        assertEquals(Map.of("p-2", 1), executionCountByPaymentId());
    }

    @Test
    void refusesRevokedKeyOnEveryNode() throws Exception {
        assertEquals(
                200,
                sendPayout(site.nodes().get(0), "p-4", "{\"payment_id\":\"p-4\"}")
                        .status());

        site.revokeKey();

        for (Node node : site.nodes()) {
            LocalSite.await(() -> isKeyRefused(node));
        }
        assertEquals(Map.of("p-4", 1), executionCountByPaymentId());
    }

    private boolean isKeyRefused(Node node) {
        try {
            return send(
                                    node.callerAddress(),
                                    ClassicRequestBuilder.get("/services/settle-app/balance/x")
                                            .addHeader("Authorization", "Bearer " + site.bearerToken())
                                            .build())
                            .status()
                    == 401;
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void showsStatusAndMetricsToOperators() throws Exception {
        Node node = site.nodes().get(0);
        LocalSite.await(() -> readPage(node, "/status").contains("\"entry-2\""));

        assertTrue(readPage(node, "/status").contains("\"configVersion\" : 1"), readPage(node, "/status"));
        assertTrue(readPage(node, "/metrics").contains("cactusshift_store_calls_total{kind=\"get\"}"));
        assertEquals(
                List.of("{\"status\":\"ok\"}"),
                List.of(readPage(node, "/healthz").replaceAll("\\s", "")));
    }

    private String readPage(Node node, String path) {
        try {
            return send(node.operatorAddress(), ClassicRequestBuilder.get(path).build())
                    .body();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
