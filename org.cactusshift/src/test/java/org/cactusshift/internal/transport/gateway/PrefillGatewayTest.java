package org.cactusshift.internal.transport.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.http.HttpResponse;
import java.util.Locale;
import org.cactusshift.internal.transport.http.ScriptedServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PrefillGatewayTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String EXPORTED =
            "{\"id\":\"p\",\"choices\":[],\"kv_transfer_params\":{\"remote_host\":\"h\",\"remote_port\":9}}";

    /** Starts a prefill engine. If crossed, its response names another attempt; if garbage, it is not JSON. */
    private static ScriptedServer prefillEngine(String behaviour) throws Exception {
        return ScriptedServer.start((request, socket, out) -> {
            String id = "X-Request-Id: " + request.header("X-Request-Id") + "\r\n";
            switch (behaviour.toUpperCase(Locale.ROOT)) {
                case "EXPORTS" -> ScriptedServer.writeResponse(out, 200, id, EXPORTED);
                case "CRASHES" -> socket.close();
                case "REFUSES" -> ScriptedServer.writeResponse(out, 503, id, "{}");
                case "CROSSED" -> ScriptedServer.writeResponse(out, 200, "X-Request-Id: other\r\n", EXPORTED);
                case "NO_EXPORT" -> ScriptedServer.writeResponse(out, 200, id, "{\"kv_transfer_params\":null}");
                default -> ScriptedServer.writeResponse(out, 200, id, "not JSON");
            }
        });
    }

    @Test
    void passesTheKvCacheToTheDecodeEngine() throws Exception {
        try (ScriptedServer decode = FakeEngine.healthy();
                ScriptedServer prefill = prefillEngine("exports");
                GatewayFixture gateway = GatewayFixture.withEngines(decode.address(), prefill.address())) {
            gateway.modelDispatcher().lastIsPrefillEngine = true;
            HttpResponse<String> response = gateway.chat(false);
            assertTrue(response.body().contains(FakeEngine.ANSWER), response.body());
            JsonNode first = MAPPER.readTree(prefill.receivedRequests().get(0).body());
            assertTrue(first.at("/kv_transfer_params/do_remote_decode").asBoolean());
            assertEquals(1, first.path("max_tokens").asInt());
            assertFalse(first.path("stream").asBoolean(true));
            JsonNode second = MAPPER.readTree(decode.receivedRequests().get(0).body());
            assertEquals("h", second.at("/kv_transfer_params/remote_host").asText());
            assertEquals(100, second.path("max_tokens").asInt());
            assertTrue(second.path("stream").asBoolean());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"crashes", "refuses", "crossed", "no_export", "garbage"})
    void theDecodeEngineProcessesThePromptWhenThePrefillFails(String behaviour) throws Exception {
        try (ScriptedServer decode = FakeEngine.healthy();
                ScriptedServer prefill = prefillEngine(behaviour);
                GatewayFixture gateway = GatewayFixture.withEngines(decode.address(), prefill.address())) {
            gateway.modelDispatcher().lastIsPrefillEngine = true;
            HttpResponse<String> response = gateway.chat(true);
            assertTrue(response.body().endsWith("data: [DONE]\n\n"), response.body());
            assertFalse(decode.receivedRequests().get(0).body().contains("kv_transfer_params"));
            assertEquals(
                    1,
                    gateway.usageRecords.stream()
                            .mapToLong(usage -> usage.requests())
                            .sum());
        }
    }

    @Test
    void aRefusedRequestMayHaveRunOnlyAfterPrefill() throws Exception {
        String notAdmitted = "{\"error\":{\"code\":\"not_admitted\"}}";
        try (ScriptedServer engine = ScriptedServer.start(
                        (request, socket, out) -> ScriptedServer.writeResponse(out, 503, "", notAdmitted));
                GatewayFixture gateway = GatewayFixture.withEngines(engine.address())) {
            gateway.modelDispatcher().lastIsPrefillEngine = true;
            HttpResponse<String> response = gateway.chat(true);
            assertEquals(503, response.statusCode());
            assertEquals(
                    "not-run",
                    response.headers().firstValue("x-cactusshift-outcome").orElse(""));
        }
        try (ScriptedServer decode = ScriptedServer.start(
                        (request, socket, out) -> ScriptedServer.writeResponse(out, 503, "", notAdmitted));
                ScriptedServer prefill = prefillEngine("exports");
                GatewayFixture gateway = GatewayFixture.withEngines(decode.address(), prefill.address())) {
            gateway.modelDispatcher().lastIsPrefillEngine = true;
            HttpResponse<String> response = gateway.chat(true);
            assertEquals(
                    "unknown",
                    response.headers().firstValue("x-cactusshift-outcome").orElse(""));
        }
    }
}
