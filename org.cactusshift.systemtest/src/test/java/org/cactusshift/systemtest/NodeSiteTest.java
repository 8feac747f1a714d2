package org.cactusshift.systemtest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.cactusshift.id.AccountId;
import org.cactusshift.standin.StandInPlainService;
import org.cactusshift.standin.engine.EngineTiming;
import org.cactusshift.standin.engine.ExpectedAnswer;
import org.cactusshift.standin.engine.StandInEngine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests a site of three node processes: requests, shutdown, engine crash, store outage and a lost response. */
class NodeSiteTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static final AccountId ACCOUNT = AccountId.fromString("ostend-auction");

    private static final EngineTiming TIMING = EngineTiming.fast().withRates(100_000, 10);

    private static final int NODE_COUNT = 3;

    private static final int LONG_RESPONSE_TOKENS = 300;

    private static final long TIMEOUT_MILLIS = 60_000;

    private final ExecutorService callers = Executors.newCachedThreadPool();

    private NodeSite site;

    private Caller caller;

    @BeforeEach
    void start(@TempDir Path directory) throws Exception {
        site = NodeSite.start(directory, NODE_COUNT, TIMING);
        caller = site.caller(ACCOUNT);
    }

    @AfterEach
    void stop() throws IOException {
        caller.close();
        site.close();
        callers.shutdownNow();
    }

    @Test
    void eachNodeReturnsCompleteResponseToItsCaller() throws IOException {
        for (int node = 0; node < NODE_COUNT; node++) {
            String content = "statement " + node;
            assertEquals(ExpectedAnswer.forUserMessage(content).text(20), chat(node, content, 20));
        }
    }

    @Test
    void terminatedNodeFinishesItsOpenRequestAndExitsWithSuccess() throws Exception {
        Future<String> openRequest = callers.submit(() -> chat(0, "long statement", LONG_RESPONSE_TOKENS));
        awaitEngineWithRequest();
        site.node(0).terminate();
        assertEquals(
                ExpectedAnswer.forUserMessage("long statement").text(LONG_RESPONSE_TOKENS),
                openRequest.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        assertEquals(OptionalInt.of(0), site.node(0).awaitExit(TIMEOUT_MILLIS));
        assertEquals(ExpectedAnswer.forUserMessage("next").text(4), chat(1, "next", 4));
    }

    @Test
    void crashOfAnEngineLeavesTheAnswerWhole() throws Exception {
        Future<String> openRequest = callers.submit(() -> chat(0, "long statement", LONG_RESPONSE_TOKENS));
        awaitEngineWithRequest().crash();
        assertEquals(
                ExpectedAnswer.forUserMessage("long statement").text(LONG_RESPONSE_TOKENS),
                openRequest.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    }

    @Test
    void requestsAreServedDuringStoreOutage() throws Exception {
        for (int node = 0; node < NODE_COUNT; node++) {
            site.storeRelay(node).cut();
        }
        long outageNanos =
                TimeUnit.MILLISECONDS.toNanos(2 * site.config().timing().keyFreshnessMillis());
        long endNanos = System.nanoTime() + outageNanos;
        while (System.nanoTime() < endNanos) {
            for (int node = 0; node < NODE_COUNT; node++) {
                assertEquals(ExpectedAnswer.forUserMessage("outage").text(4), chat(node, "outage", 4));
            }
        }
    }

    @Test
    void payoutWithLostResponseRunsOnceAndIsReportedAsUnknown() throws IOException {
        // The fault is limited to payouts: nodes also poll the load of these services, and such a poll would otherwise
        // consume the single dropped response.
        site.platform()
                .plainInstances()
                .forEach(service -> service.faults()
                        .dropResponses(1, request -> request.path().equals("/payouts")));
        String body = "{\"payment_id\": \"p1\"}";
        Caller.Response response = caller.post(site.callerAddress(0), "/services/settle-app/payouts", body, "");
        assertTrue(response.status() >= 500, response.toString());
        assertEquals("unknown", response.outcome());
        assertEquals(
                Map.of("p1", 1),
                StandInPlainService.executionCountByPaymentId(site.platform().plainInstances()));
    }

    private StandInEngine awaitEngineWithRequest() {
        Await.until(() -> site.platform().engines().stream().anyMatch(NodeSiteTest::hasReceivedInferenceRequest));
        return site.platform().engines().stream()
                .filter(NodeSiteTest::hasReceivedInferenceRequest)
                .findFirst()
                .orElseThrow();
    }

    private static boolean hasReceivedInferenceRequest(StandInEngine engine) {
        return !engine.log()
                .matching(request -> request.path().startsWith("/v1/"))
                .isEmpty();
    }

    private String chat(int node, String content, int tokens) throws IOException {
        ObjectNode body = MAPPER.createObjectNode().put("model", "share-lm").put("max_tokens", tokens);
        body.putArray("messages").addObject().put("role", "user").put("content", content);
        Caller.Response response = caller.post(site.callerAddress(node), "/v1/chat/completions", body.toString(), "");
        assertEquals(200, response.status(), response.toString());
        return MAPPER.readTree(response.text())
                .path("choices")
                .path(0)
                .path("message")
                .path("content")
                .asText();
    }
}
