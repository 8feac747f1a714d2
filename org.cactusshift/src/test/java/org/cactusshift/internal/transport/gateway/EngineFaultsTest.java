package org.cactusshift.internal.transport.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.cactusshift.internal.coordination.dispatch.AttemptEnd.Outcome;
import org.cactusshift.internal.transport.http.RawClient;
import org.cactusshift.internal.transport.http.ScriptedServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class EngineFaultsTest {
    private static final long TIMEOUT_MILLIS = 10_000;
    /** Longer than the progress timeout of the gateway. */
    private static final long SHORT_REQUEST_TIMEOUT_MILLIS = 3_000;

    private static final String FIRST_DELTA = "{\"role\":\"assistant\",\"content\":\"aaa \"}";

    /** A fault of the first engine, after which the second must answer. */
    enum Fault {
        NOT_ADMITTED(Outcome.NOT_RUN),
        NOT_ADMITTED_IN_STREAM(Outcome.NOT_RUN),
        INTERNAL_ERROR(Outcome.CRASHED),
        /** The response names another attempt; the engine has not responded to this one. */
        CROSSED_ANSWER(Outcome.SILENT),
        SILENT(Outcome.SILENT),
        SILENT_IN_STREAM(Outcome.SILENT),
        ERROR_IN_STREAM(Outcome.CRASHED),
        INVALID_JSON_IN_STREAM(Outcome.CRASHED),
        DONE_TOO_EARLY(Outcome.CRASHED),
        NON_STREAMED_RESPONSE(Outcome.CRASHED);

        private final Outcome outcome;

        Fault(Outcome outcome) {
            this.outcome = outcome;
        }

        ScriptedServer start() throws IOException {
            return ScriptedServer.start((request, socket, out) -> {
                String id = request.header("X-Request-Id");
                String notAdmitted = "{\"error\":{\"message\":\"full\",\"code\":\"not_admitted\"}}";
                switch (this) {
                    case NOT_ADMITTED -> ScriptedServer.writeResponse(out, 503, "", notAdmitted);
                    case INTERNAL_ERROR -> ScriptedServer.writeResponse(out, 500, "", "oops");
                    case NON_STREAMED_RESPONSE ->
                        ScriptedServer.writeResponse(out, 200, "Content-Type: application/json\r\n", "{}");
                    case SILENT -> out.flush();
                    case CROSSED_ANSWER -> {
                        FakeEngine.writeHead(out, "another-attempt");
                        FakeEngine.writeEvent(out, FakeEngine.chunk("{\"content\":\"SOMEONE ELSE'S\"}", "\"stop\""));
                        FakeEngine.writeEvent(out, "[DONE]");
                        FakeEngine.writeEnd(out);
                    }
                    default -> {
                        FakeEngine.writeHead(out, id);
                        ScriptedServer.writeChunk(out, ": keep-alive\n\n");
                        inStream(out, notAdmitted);
                    }
                }
            });
        }

        private void inStream(java.io.OutputStream out, String notAdmitted) throws IOException {
            if (this == NOT_ADMITTED_IN_STREAM) {
                FakeEngine.writeEvent(out, notAdmitted);
                return;
            }
            FakeEngine.writeEvent(out, FakeEngine.chunk(FIRST_DELTA, "null"));
            switch (this) {
                case ERROR_IN_STREAM -> FakeEngine.writeEvent(out, "{\"error\":{\"message\":\"x\"}}");
                case INVALID_JSON_IN_STREAM -> FakeEngine.writeEvent(out, "<html>");
                case DONE_TOO_EARLY -> FakeEngine.writeEvent(out, "[DONE]");
                default -> out.flush();
            }
        }
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void anotherEngineAnswersAfterAFault(Fault fault) throws Exception {
        try (ScriptedServer first = fault.start();
                ScriptedServer second = FakeEngine.healthy();
                GatewayFixture gateway = GatewayFixture.withEngines(first.address(), second.address())) {
            HttpResponse<String> response = gateway.chat(false);
            assertEquals(200, response.statusCode(), response.body());
            assertTrue(response.body().contains("\"" + FakeEngine.ANSWER + "\""), response.body());
            assertFalse(response.body().contains("SOMEONE"));
            assertEquals(
                    fault.outcome, gateway.modelDispatcher().attemptEnds.get(0).outcome());
            assertEquals(
                    Outcome.COMPLETED,
                    gateway.modelDispatcher().attemptEnds.get(1).outcome());
        }
    }

    @ParameterizedTest
    @CsvSource({
        "NOT_ADMITTED,not-run,503",
        "CROSSED_ANSWER,unknown,502",
        "SILENT,unknown,502",
        "INTERNAL_ERROR,unknown,502"
    })
    void reportsWhetherAFailedRequestMayHaveRun(Fault fault, String outcome, int status) throws Exception {
        try (ScriptedServer only = fault.start();
                GatewayFixture gateway = GatewayFixture.withEngines(only.address())) {
            for (boolean stream : new boolean[] {false, true}) {
                HttpResponse<String> response = gateway.chat(stream);
                assertEquals(status, response.statusCode());
                assertEquals(
                        outcome,
                        response.headers().firstValue("x-cactusshift-outcome").orElse(""));
                assertTrue(gateway.usageRecords.isEmpty());
            }
        }
    }

    @Test
    void forwardsTheEnginesRejectionWithoutRetry() throws Exception {
        String error = "{\"error\":{\"message\":\"too long\",\"code\":\"context_length_exceeded\"}}";
        try (ScriptedServer engine = ScriptedServer.start((request, socket, out) ->
                        ScriptedServer.writeResponse(out, 400, "Content-Type: application/json\r\n", error));
                GatewayFixture gateway = GatewayFixture.withEngines(engine.address(), engine.address())) {
            HttpResponse<String> response = gateway.chat(true);
            assertEquals(400, response.statusCode());
            assertEquals(error, response.body());
            assertEquals(
                    "unknown",
                    response.headers().firstValue("x-cactusshift-outcome").orElse(""));
            assertEquals(1, engine.receivedRequests().size());
        }
    }

    @Test
    void endsABrokenStreamWithAnErrorAndWithoutDone() throws Exception {
        try (ScriptedServer only = FakeEngine.crashingAfter(2);
                GatewayFixture gateway = GatewayFixture.withEngines(only.address())) {
            HttpResponse<String> response = gateway.chat(true);
            assertTrue(response.body().contains("\"upstream_lost\""), response.body());
            assertFalse(response.body().contains("[DONE]"));
            assertEquals(2, gateway.usageRecords.get(0).completionTokens());
            assertEquals(1, gateway.usageRecords.get(0).requests());
        }
    }

    @Test
    void ignoresDataAfterTheEndOfAnAnswer() throws Exception {
        try (ScriptedServer engine = ScriptedServer.start((request, socket, out) -> {
                    FakeEngine.writeHead(out, request.header("X-Request-Id"));
                    FakeEngine.writeEvent(out, FakeEngine.chunk("{\"content\":\"whole\"}", "\"stop\""));
                    FakeEngine.writeEvent(out, "[DONE]");
                    ScriptedServer.writeChunk(out, "trailing text, not an event");
                    FakeEngine.writeEnd(out);
                });
                GatewayFixture gateway = GatewayFixture.withEngines(engine.address())) {
            assertTrue(gateway.chat(false).body().contains("\"whole\""));
            assertTrue(gateway.chat(true).body().endsWith("data: [DONE]\n\n"));
            assertEquals(1, engine.connectionCount());
        }
    }

    @Test
    void completesAnAnswerWhoseEngineCrashesAfterTheFinishReason() throws Exception {
        try (ScriptedServer engine = ScriptedServer.start((request, socket, out) -> {
                    FakeEngine.writeHead(out, request.header("X-Request-Id"));
                    FakeEngine.writeEvent(out, FakeEngine.chunk("{\"content\":\"whole \"}", "\"stop\""));
                    throw new IOException("crash");
                });
                ScriptedServer second = FakeEngine.healthy();
                GatewayFixture gateway = GatewayFixture.withEngines(engine.address(), second.address())) {
            HttpResponse<String> response = gateway.chat(true);
            assertTrue(response.body().endsWith("data: [DONE]\n\n"), response.body());
            assertTrue(second.receivedRequests().isEmpty());
            assertEquals(1, gateway.usageRecords.size());
            assertEquals(0, gateway.dispatch.openRequests());
        }
    }

    /**
     * Starts an engine that sends one token, counts down {@code started}, then sends only comments until its connection
     * is closed, and counts down {@code connectionClosed}.
     */
    private static ScriptedServer stalling(CountDownLatch started, CountDownLatch connectionClosed) throws IOException {
        return ScriptedServer.start((request, socket, out) -> {
            FakeEngine.writeHead(out, request.header("X-Request-Id"));
            FakeEngine.writeEvent(out, FakeEngine.chunk(FIRST_DELTA, "null"));
            started.countDown();
            boolean open = true;
            while (open) {
                try {
                    ScriptedServer.writeChunk(out, ": keep-alive\n\n");
                    Thread.sleep(10);
                } catch (IOException e) {
                    open = false;
                }
            }
            connectionClosed.countDown();
        });
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aDisconnectedCallerCancelsTheAttempt(boolean stream) throws Exception {
        CountDownLatch started = new CountDownLatch(1);
        CountDownLatch connectionClosed = new CountDownLatch(1);
        try (ScriptedServer engine = stalling(started, connectionClosed);
                GatewayFixture gateway = GatewayFixture.withEngines(engine.address())) {
            String body = GatewayFixture.chatBody(stream);
            try (RawClient caller = RawClient.connect(gateway.listener.address())) {
                caller.send("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "
                        + GatewayFixture.BEARER_TOKEN + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
                assertTrue(started.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            }
            assertTrue(connectionClosed.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            GatewayFixture.await(() -> gateway.dispatch.openRequests() == 0);
            assertEquals(
                    Outcome.CANCELLED,
                    gateway.modelDispatcher().attemptEnds.get(0).outcome());
        }
    }

    @Test
    void aRevokedKeyEndsItsOpenStream() throws Exception {
        CountDownLatch started = new CountDownLatch(1);
        CountDownLatch connectionClosed = new CountDownLatch(1);
        try (ScriptedServer engine = stalling(started, connectionClosed);
                GatewayFixture gateway = GatewayFixture.withEngines(engine.address())) {
            Thread revocation = new Thread(() -> {
                try {
                    started.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                gateway.keyValid = false;
            });
            revocation.start();
            HttpResponse<String> response = gateway.chat(true);
            assertTrue(response.body().contains("invalid_api_key"), response.body());
            assertFalse(response.body().contains("[DONE]"));
            assertTrue(connectionClosed.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        }
    }

    @Test
    void aRequestEndsWith504AfterTheCallersTimeout() throws Exception {
        CountDownLatch connectionClosed = new CountDownLatch(1);
        try (ScriptedServer engine = stalling(new CountDownLatch(1), connectionClosed);
                GatewayFixture gateway = GatewayFixture.withEngines(engine.address())) {
            HttpResponse<String> response = gateway.post(
                    "/v1/chat/completions", GatewayFixture.chatBody(false), "x-cactusshift-timeout-ms", "300");
            assertEquals(504, response.statusCode());
            assertEquals(
                    "unknown",
                    response.headers().firstValue("x-cactusshift-outcome").orElse(""));
            assertTrue(connectionClosed.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aGracefulStopWaitsForOpenResponses(boolean stream) throws Exception {
        CountDownLatch started = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        try (ScriptedServer engine = ScriptedServer.start((request, socket, out) -> {
                    FakeEngine.writeHead(out, request.header("X-Request-Id"));
                    FakeEngine.writeEvent(out, FakeEngine.chunk(FIRST_DELTA, "null"));
                    started.countDown();
                    // Comments keep the connection from timing out while the test delays the answer.
                    while (!release.await(50, TimeUnit.MILLISECONDS)) {
                        ScriptedServer.writeChunk(out, ": keep-alive\n\n");
                    }
                    FakeEngine.writeEvent(out, FakeEngine.chunk("{\"content\":\"end\"}", "\"stop\""));
                    FakeEngine.writeEvent(out, "[DONE]");
                    FakeEngine.writeEnd(out);
                });
                GatewayFixture gateway = GatewayFixture.withEngines(engine.address());
                RawClient caller = RawClient.connect(gateway.listener.address())) {
            String body = GatewayFixture.chatBody(stream);
            caller.send("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "
                    + GatewayFixture.BEARER_TOKEN + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            assertTrue(started.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            CompletableFuture<Boolean> stopped = CompletableFuture.supplyAsync(() -> {
                try {
                    return gateway.listener.stop(TIMEOUT_MILLIS);
                } catch (InterruptedException e) {
                    return false;
                }
            });
            release.countDown();
            String response = caller.readToEnd();
            assertTrue(response.contains("aaa ") && response.contains("end"), response);
            assertTrue(!stream || response.contains("[DONE]"), response);
            assertTrue(stopped.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        }
    }

    /**
     * Starts an engine that is silent before its response or after the first token, counts down {@code silent} then,
     * and goes on after {@code released}.
     */
    private static ScriptedServer pausing(boolean inStream, CountDownLatch silent, CountDownLatch released)
            throws IOException {
        return ScriptedServer.start((request, socket, out) -> {
            if (!inStream) {
                silent.countDown();
                released.await();
            }
            FakeEngine.writeHead(out, request.header("X-Request-Id"));
            FakeEngine.writeEvent(out, FakeEngine.chunk(FIRST_DELTA, "null"));
            if (inStream) {
                silent.countDown();
                released.await();
            }
            FakeEngine.writeEvent(out, FakeEngine.chunk("{\"content\":\"end\"}", "\"stop\""));
            FakeEngine.writeEvent(out, "[DONE]");
            FakeEngine.writeEnd(out);
        });
    }

    /** Guards against giving up a silent engine before a retry is granted, which cuts the answer. */
    @ParameterizedTest
    @CsvSource({
        // retry budget ratio, engines, in the stream, streamed to the caller
        "0,2,true,true",
        "0,2,true,false",
        "0,2,false,true",
        "0.2,1,true,true",
        "0.2,1,true,false",
        "0.2,1,false,true"
    })
    void silentEngineIsNotGivenUpWhileNoRetryIsPossible(
            double retryBudgetRatio, int engineCount, boolean inStream, boolean stream) throws Exception {
        CountDownLatch silent = new CountDownLatch(1);
        CountDownLatch released = new CountDownLatch(1);
        try (ScriptedServer first = pausing(inStream, silent, released);
                ScriptedServer second = pausing(inStream, silent, released);
                GatewayFixture gateway = GatewayFixture.withServiceDispatcher(
                        GatewayFixture.MODEL,
                        retryBudgetRatio,
                        GatewayFixture.REQUEST_TIMEOUT_MILLIS,
                        Stream.of(first.address(), second.address())
                                .limit(engineCount)
                                .toArray(String[]::new))) {
            CompletableFuture<HttpResponse<String>> response =
                    gateway.postAsync("/v1/chat/completions", GatewayFixture.chatBody(stream));
            assertTrue(silent.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            gateway.awaitProgressTimeout(response);
            released.countDown();
            String body = response.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).body();
            assertTrue(body.contains("aaa ") && body.contains("end"), body);
            assertTrue(!stream || body.endsWith("data: [DONE]\n\n"), body);
            assertEquals(
                    1,
                    first.receivedRequests().size() + second.receivedRequests().size());
        }
    }

    /** Starts an engine that sends one token and then nothing until its connection is closed. */
    private static ScriptedServer unresponsive(CountDownLatch silent, CompletableFuture<Void> connectionClosed)
            throws IOException {
        return ScriptedServer.start((request, socket, out) -> {
            FakeEngine.writeHead(out, request.header("X-Request-Id"));
            FakeEngine.writeEvent(out, FakeEngine.chunk(FIRST_DELTA, "null"));
            silent.countDown();
            if (socket.getInputStream().read() < 0) {
                connectionClosed.complete(null);
            }
        });
    }

    /** Guards against a stream that never ends when its engine is dead and no retry is possible. */
    @Test
    void streamOfAnUnresponsiveEngineEndsAtTheDefaultDeadline() throws Exception {
        CompletableFuture<Void> connectionClosed = new CompletableFuture<>();
        try (ScriptedServer engine = unresponsive(new CountDownLatch(1), connectionClosed);
                GatewayFixture gateway = GatewayFixture.withServiceDispatcher(
                        GatewayFixture.MODEL, 0, SHORT_REQUEST_TIMEOUT_MILLIS, engine.address())) {
            HttpResponse<String> response = gateway.chat(true);
            assertTrue(response.body().contains("aaa "), response.body());
            assertTrue(response.body().contains("\"deadline_exceeded\""), response.body());
            assertFalse(response.body().contains("[DONE]"));
            connectionClosed.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Guards against holding a silent engine after its answer is no longer needed. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void silentAttemptEndsWhenItsCallerDisconnectsOrItsKeyIsWithdrawn(boolean disconnects) throws Exception {
        CountDownLatch silent = new CountDownLatch(1);
        CompletableFuture<Void> connectionClosed = new CompletableFuture<>();
        try (ScriptedServer engine = unresponsive(silent, connectionClosed);
                GatewayFixture gateway = GatewayFixture.withServiceDispatcher(
                        GatewayFixture.MODEL, 0, GatewayFixture.REQUEST_TIMEOUT_MILLIS, engine.address());
                RawClient caller = RawClient.connect(gateway.listener.address())) {
            String body = GatewayFixture.chatBody(true);
            caller.send("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "
                    + GatewayFixture.BEARER_TOKEN + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            assertTrue(silent.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            gateway.awaitProgressTimeout(connectionClosed);
            assertFalse(connectionClosed.isDone(), "the engine was given up");
            if (disconnects) {
                caller.close();
            } else {
                gateway.keyValid = false;
            }
            connectionClosed.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            GatewayFixture.await(() -> gateway.dispatch.openRequests() == 0);
        }
    }
}
