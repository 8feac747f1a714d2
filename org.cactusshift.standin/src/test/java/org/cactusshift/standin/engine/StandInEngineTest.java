package org.cactusshift.standin.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.cactusshift.config.UpstreamConfig.Role;
import org.cactusshift.standin.Await;
import org.cactusshift.standin.ReceivedRequest;
import org.cactusshift.standin.StandInClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class StandInEngineTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static final String CHAT = "/v1/chat/completions";

    private static final String PROMPT = "Draft the share statement of landing 17. the cat sat";

    private static final int LONG_TOKENS = 100_000;

    private static final long RESPONSE_TIMEOUT_MILLIS = 20_000;

    private final StandInClient client = StandInClient.create();

    private final ExecutorService callers = Executors.newCachedThreadPool();

    private final EngineSettings settings = EngineSettings.mixed("e1", "share-lm", EngineTiming.fast());

    private final StandInEngine engine = StandInEngine.create(settings);

    private final StandInEngine other = StandInEngine.create(settings);

    @BeforeEach
    void start() throws IOException {
        engine.start();
        other.start();
    }

    @AfterEach
    void stop() {
        engine.close();
        other.close();
        client.close();
        callers.shutdownNow();
    }

    @ParameterizedTest
    @CsvSource({"true, true", "true, false", "false, true", "false, false"})
    void generatesExpectedAnswerAndResumesItAtAnotherEngine(boolean chat, boolean stream) throws IOException {
        ExpectedAnswer expected = chat ? ExpectedAnswer.forUserMessage(PROMPT) : ExpectedAnswer.forPrompt(PROMPT);
        assertEquals(expected.text(20), textOf(engine, body(chat, stream, "", 20)));
        assertEquals(expected.text(16), textOf(engine, body(chat, stream, "", 0)));
        for (int delivered = 1; delivered < 20; delivered += 6) {
            String start = expected.text(delivered);
            assertEquals(expected.text(20), start + textOf(other, body(chat, stream, start, 20 - delivered)));
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void usageReportsTokensAndCacheEventsListStoredBlocks(boolean stream) throws IOException {
        // Two full KV-cache blocks and a part of a third.
        String prompt = "p".repeat(8192 * 2 + 5);
        int promptTokens = ("user\n" + prompt + "\n").length() / 4 + 1;
        String request = withContent(body(true, stream, "", 3), prompt);
        assertEquals(List.of(promptTokens, 3, 0), usageOf(request));
        assertEquals(List.of(promptTokens, 3, 2 * PrefixCache.BLOCK_TOKENS), usageOf(request));
        JsonNode events = read(engine, "/cache-events?after=0").path("events");
        assertEquals(2, events.size());
        long first = PrefixCache.prefixHashes("user\n" + prompt + "\n").get(0);
        assertEquals(String.format("%016x", first), events.get(0).path("prefix").asText());
        assertEquals(0, read(engine, "/cache-events?after=2").path("events").size());
    }

    @Test
    void closedConnectionCancelsRequest() throws IOException {
        int colon = engine.address().lastIndexOf(':');
        int port = Integer.parseInt(engine.address().substring(colon + 1));
        byte[] body = body(true, false, "", LONG_TOKENS).getBytes(StandardCharsets.UTF_8);
        String head = "POST " + CHAT + " HTTP/1.1\r\nHost: x\r\nX-Request-Id: gone\r\nContent-Length: " + body.length
                + "\r\n\r\n";
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().write(body);
            Await.until(() -> stateOf("gone").equals("running"));
        }
        Await.until(() -> stateOf("gone").equals("cancelled"));
        Await.until(() -> outcomeOf("gone") == ReceivedRequest.Outcome.CANCELLED);
    }

    @Test
    void crashMarkerCrashesEngineAndConcurrentRequestAndRestartHasNewEpoch() throws IOException {
        long epoch = read(engine, "/load").path("epoch").asLong();
        engine.faults().setCrashMarker(Optional.of("POISON"));
        Future<StandInClient.Response> innocent = post(body(true, true, "", LONG_TOKENS), "innocent");
        Await.until(() -> stateOf("innocent").equals("running"));
        assertThrows(
                IOException.class,
                () -> client.post(
                        engine.address(), CHAT, withContent(body(true, false, "", 1), "some POISON"), "poison"));
        assertThrows(ExecutionException.class, innocent::get);
        assertThrows(IOException.class, () -> read(engine, "/load"));
        Await.until(() -> outcomeOf("innocent") == ReceivedRequest.Outcome.CRASHED);
        engine.start();
        assertNotEquals(epoch, read(engine, "/load").path("epoch").asLong());
        assertEquals(404, client.get(engine.address(), "/requests/innocent").status());
    }

    @Test
    void misattributedResponseHasIdAndTextOfPreviousRequest() throws IOException {
        client.post(engine.address(), CHAT, withContent(body(true, false, "", 5), "first"), "a1");
        engine.faults().setMisattributingResponses(true);
        StandInClient.Response misattributed = client.post(engine.address(), CHAT, body(true, false, "", 5), "a2");
        assertEquals("a1", misattributed.attemptId());
        assertEquals(ExpectedAnswer.forUserMessage("first").text(5), textOf(misattributed.text()));
    }

    @Test
    void orderTakesEngineOutOfServiceAndRepeatedConcurrentAndStaleOnesDoNotRun() throws Exception {
        Future<StandInClient.Response> running = post(body(true, true, "", LONG_TOKENS), "running");
        Await.until(() -> stateOf("running").equals("running"));
        assertEquals(202, order("o1", 5, "decode"));
        assertEquals(409, order("o2", 5, "mixed"));
        assertThrows(ExecutionException.class, running::get);
        assertEquals(ReceivedRequest.Outcome.CUT_BY_ORDER, outcomeOf("running"));
        Await.until(() ->
                read(engine, "/orders").path("last").path("state").asText().equals("done"));
        assertEquals("decode", read(engine, "/orders").path("role").asText());
        Await.until(() -> read(engine, "/load").path("role").asText().equals("decode"));
        assertEquals(202, order("o1", 5, "decode"));
        assertEquals(409, order("o3", 4, "mixed"));
        assertEquals(
                List.of(
                        ReceivedEngineOrder.Decision.ACCEPTED,
                        ReceivedEngineOrder.Decision.BUSY,
                        ReceivedEngineOrder.Decision.REPEATED,
                        ReceivedEngineOrder.Decision.STALE),
                engine.receivedOrders().stream()
                        .map(ReceivedEngineOrder::decision)
                        .toList());
    }

    @Test
    void engineIgnoringFencingAcceptsStaleOrder() throws IOException {
        engine.faults().setIgnoringFencing(true);
        order("o1", 5, "decode");
        Await.until(() ->
                read(engine, "/orders").path("last").path("state").asText().equals("done"));
        assertEquals(202, order("o2", 4, "mixed"));
        assertEquals(
                List.of(false, true),
                engine.receivedOrders().stream()
                        .map(ReceivedEngineOrder::isAcceptedWithStaleFencingNumber)
                        .toList());
    }

    @Test
    void refusedRequestIsMarkedAsNotAdmitted() throws IOException {
        engine.faults().setRefusingNewWork(true);
        StandInClient.Response answer = client.post(engine.address(), CHAT, body(true, true, "", 5), "a1");
        assertEquals(503, answer.status());
        assertTrue(answer.text().contains("not_admitted"));
        assertEquals(404, client.get(engine.address(), "/requests/a1").status());
        assertEquals(ReceivedRequest.Outcome.REFUSED, outcomeOf("a1"));
    }

    @Test
    void lowerPriorityNumberRunsFirst() throws Exception {
        engine.close();
        EngineTiming slow = EngineTiming.fast().withRates(1_000_000, 5);
        // A KV cache of one block runs one request at a time, so that the later ones wait.
        try (StandInEngine small = StandInEngine.create(
                EngineSettings.mixed("small", "share-lm", slow).withRole(Role.MIXED, 1))) {
            small.start();
            Future<StandInClient.Response> first = postTo(small, body(true, false, "", 40), "first");
            Await.until(() -> small.log().withAttemptId("first").size() == 1);
            Future<StandInClient.Response> lowPriority =
                    postTo(small, withPriority(body(true, false, "", 40), 5), "late");
            Await.until(() -> read(small, "/load").path("waiting").asInt() == 1);
            Future<StandInClient.Response> highPriority =
                    postTo(small, withPriority(body(true, false, "", 40), -5), "soon");
            highPriority.get(RESPONSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            assertFalse(lowPriority.isDone());
            assertEquals(
                    200,
                    lowPriority
                            .get(RESPONSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                            .status());
            assertEquals(200, first.get().status());
        }
    }

    @Test
    void exportedKvCacheIsFetchedOnce() throws IOException {
        ObjectNode prefill = object(body(true, false, "", 1));
        prefill.putObject("kv_transfer_params").put("do_remote_decode", true);
        JsonNode answer = MAPPER.readTree(
                client.post(engine.address(), CHAT, prefill.toString(), "p1").text());
        ObjectNode decode = object(body(true, false, "", 4));
        decode.set("kv_transfer_params", answer.path("kv_transfer_params"));
        assertEquals(ExpectedAnswer.forUserMessage(PROMPT).text(4), textOf(other, decode.toString()));
        String block = answer.path("kv_transfer_params")
                .path("remote_block_ids")
                .get(0)
                .asText();
        assertEquals(404, client.get(engine.address(), "/kv-blocks/" + block).status());
        assertEquals(
                1,
                engine.log()
                        .matching(request -> request.path().contains("kv-blocks")
                                && request.outcome() == ReceivedRequest.Outcome.ANSWERED)
                        .size());
    }

    private int order(String orderId, long fencingNumber, String role) throws IOException {
        ObjectNode order = MAPPER.createObjectNode()
                .put("order_id", orderId)
                .put("fencing_number", fencingNumber)
                .put("kind", "set_role")
                .put("role", role);
        return client.post(engine.address(), "/orders", order.toString(), orderId)
                .status();
    }

    private Future<StandInClient.Response> post(String body, String attempt) {
        return postTo(engine, body, attempt);
    }

    private Future<StandInClient.Response> postTo(StandInEngine target, String body, String attempt) {
        return callers.submit(() -> client.post(target.address(), CHAT, body, attempt));
    }

    private String stateOf(String attempt) throws IOException {
        return read(engine, "/requests/" + attempt).path("state").asText();
    }

    private ReceivedRequest.Outcome outcomeOf(String attempt) {
        return engine.log().withAttemptId(attempt).get(0).outcome();
    }

    private JsonNode read(StandInEngine target, String path) throws IOException {
        return MAPPER.readTree(client.get(target.address(), path).text());
    }

    private List<Integer> usageOf(String request) throws IOException {
        String answer = client.post(engine.address(), CHAT, request, "u").text();
        JsonNode usage = MAPPER.readTree(answer.startsWith("data: ") ? lastChunk(answer) : answer)
                .path("usage");
        return List.of(
                usage.path("prompt_tokens").asInt(),
                usage.path("completion_tokens").asInt(),
                usage.path("prompt_tokens_details").path("cached_tokens").asInt());
    }

    private static String lastChunk(String answer) {
        List<String> chunks =
                answer.lines().filter(line -> line.startsWith("data: {")).toList();
        return chunks.get(chunks.size() - 1).substring("data: ".length());
    }

    private String textOf(StandInEngine target, String body) throws IOException {
        String path = body.contains("messages") ? CHAT : "/v1/completions";
        return textOf(client.post(target.address(), path, body, "a").text());
    }

    private static String textOf(String answer) throws IOException {
        if (!answer.contains("data: ")) {
            JsonNode choice = MAPPER.readTree(answer).path("choices").path(0);
            return choice.path("message")
                    .path("content")
                    .asText(choice.path("text").asText());
        }
        assertTrue(answer.endsWith("data: [DONE]\n\n"), answer);
        StringBuilder text = new StringBuilder();
        for (String line : answer.lines().filter(l -> l.startsWith("data: {")).toList()) {
            JsonNode choice = MAPPER.readTree(line.substring("data: ".length()))
                    .path("choices")
                    .path(0);
            text.append(choice.path("delta").path("content").asText(""));
            text.append(choice.path("text").asText(""));
        }
        return text.toString();
    }

    /**
     * Returns a request that resumes after the delivered text, if any; 0 tokens leave out the limit, so that the
     * default of {@link ExpectedAnswer#DEFAULT_TOKENS} applies.
     */
    private static String body(boolean chat, boolean stream, String delivered, int tokens) {
        ObjectNode root = MAPPER.createObjectNode().put("model", "share-lm").put("stream", stream);
        root.putObject("stream_options").put("include_usage", true);
        if (tokens > 0) {
            root.put("max_tokens", tokens);
        }
        if (!chat) {
            return root.put("prompt", PROMPT + delivered).toString();
        }
        root.putArray("messages").addObject().put("role", "user").put("content", PROMPT);
        if (!delivered.isEmpty()) {
            root.withArray("messages").addObject().put("role", "assistant").put("content", delivered);
            root.put("continue_final_message", true).put("add_generation_prompt", false);
        }
        return root.toString();
    }

    private static String withContent(String body, String content) throws IOException {
        ObjectNode root = object(body);
        ((ObjectNode) root.path("messages").get(0)).put("content", content);
        return root.toString();
    }

    private static String withPriority(String body, int priority) throws IOException {
        return object(body).put("priority", priority).toString();
    }

    private static ObjectNode object(String body) throws IOException {
        return (ObjectNode) MAPPER.readTree(body);
    }
}
