package org.cactusshift.internal.transport.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.cactusshift.internal.coordination.key.KeyVerdict;
import org.cactusshift.internal.transport.http.RawClient;
import org.cactusshift.internal.transport.http.ScriptedServer;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the checks of requests before their dispatch, and the responses that need no dispatch. */
class RequestChecksTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static ScriptedServer engine;
    private static GatewayFixture gateway;

    @BeforeAll
    static void open() throws Exception {
        engine = FakeEngine.healthy();
        gateway = GatewayFixture.withEngines(engine.address());
    }

    @AfterAll
    static void close() throws Exception {
        gateway.close();
        engine.close();
    }

    private static void assertRefused(HttpResponse<String> response, int status, String code) throws Exception {
        assertEquals(status, response.statusCode(), response.body());
        assertEquals(
                "not-run",
                response.headers().firstValue("x-cactusshift-outcome").orElse(""));
        assertTrue(response.headers().firstValue("x-request-id").isPresent());
        JsonNode error = MAPPER.readTree(response.body()).path("error");
        assertEquals(code, error.path("code").asText());
        assertFalse(error.path("message").asText().isEmpty());
        assertTrue(error.has("type") && error.has("param"));
        boolean hasRetryAfter = status == 429 || status == 503;
        assertEquals(hasRetryAfter, response.headers().firstValue("retry-after").isPresent());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "/v1/chat/completions|{|400|bad_request",
                "/v1/chat/completions|{\"model\":\"share-lm\"}|400|bad_request",
                "/v1/chat/completions|{\"model\":5}|400|bad_request",
                "/v1/completions|{\"model\":\"share-lm\",\"prompt\":{}}|400|bad_request",
                "/v1/completions|{\"model\":\"none\",\"prompt\":\"x\"}|404|model_not_found",
                "/v1/completions|{\"model\":\"other-lm\",\"prompt\":\"x\"}|404|model_not_found",
                "/v1/completions|{\"model\":\"settle-app\",\"prompt\":\"x\"}|404|model_not_found",
                "/v1/models|{}|405|method_not_allowed",
                "/services/none/x|{}|404|service_not_found",
                "/services/share-lm/x|{}|404|service_not_found",
                "/services/|{}|404|service_not_found",
                "/|{}|404|not_found",
                "/v1/embeddings|{}|404|not_found"
            })
    void refusesInvalidRequests(String path, String body, int status, String code) throws Exception {
        assertRefused(gateway.post(path, body), status, code);
    }

    @ParameterizedTest
    @ValueSource(strings = {"-1", "0", "x", "1.5", "", "99999999999", "86400001", "+5"})
    void refusesInvalidTimeouts(String timeout) throws Exception {
        HttpResponse<String> response = gateway.post(
                "/v1/chat/completions", GatewayFixture.chatBody(false), "x-cactusshift-timeout-ms", timeout);
        assertRefused(response, 400, "bad_request");
    }

    @ParameterizedTest
    @CsvSource({
        "'',401,missing_api_key",
        "Bearer wrong,401,invalid_api_key",
        "Basic azE=,401,invalid_api_key",
        "Bearer,401,invalid_api_key"
    })
    void refusesMissingAndInvalidKeys(String authorization, int status, String code) throws Exception {
        for (String path : new String[] {"/v1/chat/completions", "/v1/models", "/services/settle-app/pay"}) {
            HttpRequest.Builder builder = HttpRequest.newBuilder(
                    URI.create("http://127.0.0.1:" + gateway.listener.address().getPort() + path));
            if (!authorization.isEmpty()) {
                builder.header("Authorization", authorization);
            }
            if (!path.endsWith("models")) {
                builder.POST(HttpRequest.BodyPublishers.ofString(GatewayFixture.chatBody(false)));
            }
            assertRefused(gateway.send(builder.build()), status, code);
        }
        // A rejected key must not reach the engine.
        assertTrue(engine.receivedRequests().isEmpty()
                || !engine.receivedRequests().toString().contains("wrong"));
    }

    @Test
    void refusesKeysWhenTheKeyViewIsStale() throws Exception {
        gateway.forcedKeyStatus = KeyVerdict.Status.STALE_VIEW;
        try {
            assertRefused(gateway.chat(false), 503, "keys_not_fresh");
        } finally {
            gateway.forcedKeyStatus = null;
        }
    }

    @Test
    void refusesABodyOverTheLimit() throws Exception {
        // The limit is 65,536 bytes.
        HttpResponse<String> response = gateway.post("/v1/chat/completions", "a".repeat(70_000));
        assertEquals(413, response.statusCode());
        assertEquals(
                "not-run",
                response.headers().firstValue("x-cactusshift-outcome").orElse(""));
    }

    @Test
    void listsTheModelsThatTheClientAccountMayCall() throws Exception {
        HttpResponse<String> response =
                gateway.send(gateway.request("/v1/models").build());
        JsonNode data = MAPPER.readTree(response.body()).path("data");
        assertEquals(1, data.size());
        assertEquals("share-lm", data.at("/0/id").asText());
    }

    @Test
    void propagatesTheTraceIdToTheEngineAndTheCaller() throws Exception {
        String traceId = "0af7651916cd43dd8448eb211c80319c";
        HttpResponse<String> response = gateway.post(
                "/v1/chat/completions",
                GatewayFixture.chatBody(false),
                "traceparent",
                "00-" + traceId + "-b7ad6b7169203331-01");
        assertTrue(response.headers().firstValue("traceparent").orElse("").contains(traceId));
        assertTrue(engine.receivedRequests()
                .get(engine.receivedRequests().size() - 1)
                .header("traceparent")
                .contains(traceId));
    }

    @ParameterizedTest
    @ValueSource(strings = {"/healthz", "/readyz"})
    void answersHealthChecksWithoutKey(String path) throws Exception {
        URI uri = URI.create("http://127.0.0.1:" + gateway.listener.address().getPort() + path);
        HttpResponse<String> response = HttpClient.newHttpClient()
                .send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
        assertEquals(200, response.statusCode());
    }

    @Test
    void closesTheConnectionOfASlowSenderAndServesOthers() throws Exception {
        try (RawClient slow = RawClient.connect(gateway.listener.address())) {
            slow.send("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\n{");
            assertEquals("", slow.readToEnd());
        }
        assertEquals(200, gateway.chat(false).statusCode());
    }
}
