package org.cactusshift.internal.transport.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import org.cactusshift.internal.coordination.usage.UsageRecord;
import org.cactusshift.internal.transport.http.ScriptedServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CompletionGatewayTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static List<String> events(String body) {
        List<String> events = new ArrayList<>();
        for (String event : body.split("\n\n")) {
            events.add(event.substring("data: ".length()));
        }
        return events;
    }

    private static String streamedText(String body) throws Exception {
        StringBuilder text = new StringBuilder();
        for (String event : events(body)) {
            if (!event.equals("[DONE]")) {
                text.append(MAPPER.readTree(event)
                        .path("choices")
                        .path(0)
                        .path("delta")
                        .path("content")
                        .asText(""));
            }
        }
        return text.toString();
    }

    private static JsonNode usageEvent(String body) throws Exception {
        List<String> events = events(body);
        assertEquals("[DONE]", events.get(events.size() - 1));
        return MAPPER.readTree(events.get(events.size() - 2)).path("usage");
    }

    @Test
    void streamsTheCompleteAnswerWithUsage() throws Exception {
        try (ScriptedServer engine = FakeEngine.healthy();
                GatewayFixture gateway = GatewayFixture.withEngines(engine.address())) {
            HttpResponse<String> response = gateway.chat(true);
            assertEquals(200, response.statusCode());
            assertTrue(response.headers().firstValue("content-type").orElse("").startsWith("text/event-stream"));
            assertTrue(response.headers().firstValue("x-request-id").isPresent());
            assertTrue(response.headers().firstValue("traceparent").isPresent());
            assertEquals(FakeEngine.ANSWER, streamedText(response.body()));
            assertEquals(
                    FakeEngine.PROMPT_TOKENS,
                    usageEvent(response.body()).path("prompt_tokens").asInt());
            assertEquals(
                    FakeEngine.TOKENS,
                    usageEvent(response.body()).path("completion_tokens").asInt());
            assertEquals(FakeEngine.TOKENS, gateway.modelDispatcher().progressTokens);
        }
    }

    @ParameterizedTest
    @CsvSource({"0,true", "1,true", "2,true", "3,true", "4,true", "5,true", "6,true", "0,false", "3,false", "6,false"})
    void deliversEachTokenOnceWhenTheEngineCrashes(int tokensBeforeCrash, boolean stream) throws Exception {
        try (ScriptedServer first = FakeEngine.crashingAfter(tokensBeforeCrash);
                ScriptedServer second = FakeEngine.healthy();
                GatewayFixture gateway = GatewayFixture.withEngines(first.address(), second.address())) {
            HttpResponse<String> response = gateway.chat(stream);
            assertEquals(200, response.statusCode());
            String text = stream
                    ? streamedText(response.body())
                    : MAPPER.readTree(response.body())
                            .at("/choices/0/message/content")
                            .asText();
            assertEquals(FakeEngine.ANSWER, text);
            JsonNode usage = stream
                    ? usageEvent(response.body())
                    : MAPPER.readTree(response.body()).path("usage");
            assertEquals(FakeEngine.PROMPT_TOKENS, usage.path("prompt_tokens").asInt());
            assertEquals(FakeEngine.TOKENS, usage.path("completion_tokens").asInt());
            assertEquals(
                    FakeEngine.TOKENS,
                    gateway.usageRecords.stream()
                            .mapToLong(UsageRecord::completionTokens)
                            .sum());
            assertEquals(
                    FakeEngine.PROMPT_TOKENS,
                    gateway.usageRecords.stream()
                            .mapToLong(UsageRecord::promptTokens)
                            .sum());
            assertEquals(
                    1,
                    gateway.usageRecords.stream()
                            .mapToLong(UsageRecord::requests)
                            .sum());
            String resumedBody = second.receivedRequests().get(0).body();
            assertEquals(
                    // A token of the fake engine has 4 characters.
                    FakeEngine.ANSWER.substring(0, tokensBeforeCrash * 4),
                    FakeEngine.delivered(second.receivedRequests().get(0)));
            assertEquals(
                    // The caller requested at most 100 tokens.
                    100 - tokensBeforeCrash,
                    MAPPER.readTree(resumedBody).path("max_tokens").asInt());
        }
    }

    @Test
    void returnsANonStreamedResponseAndForwardsUnknownRequestFields() throws Exception {
        try (ScriptedServer engine = FakeEngine.healthy();
                GatewayFixture gateway = GatewayFixture.withEngines(engine.address())) {
            HttpResponse<String> response = gateway.chat(false);
            JsonNode json = MAPPER.readTree(response.body());
            assertEquals("chat.completion", json.path("object").asText());
            assertEquals(
                    FakeEngine.ANSWER, json.at("/choices/0/message/content").asText());
            assertEquals("assistant", json.at("/choices/0/message/role").asText());
            assertEquals("stop", json.at("/choices/0/finish_reason").asText());
            ScriptedServer.Received received = engine.receivedRequests().get(0);
            assertTrue(received.body().contains("\"x_unknown\":{\"a\":1.10}"), received.body());
            assertTrue(MAPPER.readTree(received.body())
                    .at("/stream_options/include_usage")
                    .asBoolean());
            // The secret part of the caller's key must not reach the engine.
            assertFalse(received.headers().toString().contains("secret"));
        }
    }
}
