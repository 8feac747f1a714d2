package org.cactusshift.internal.transport.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.cactusshift.internal.transport.http.RawClient;
import org.cactusshift.internal.transport.http.ScriptedServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class ServiceGatewayTest {
    /** The path of a non-repeatable call. */
    private static final String PAY_PATH = "/services/settle-app/pay?crew=1";

    private static final long TIMEOUT_MILLIS = 10_000;

    private static ScriptedServer healthy() throws IOException {
        return ScriptedServer.start((request, socket, out) ->
                ScriptedServer.writeResponse(out, 201, "Content-Type: text/plain\r\nX-Kept: yes\r\n", "paid"));
    }

    private static ScriptedServer crashing() throws IOException {
        return ScriptedServer.start((request, socket, out) -> socket.close());
    }

    private static ScriptedServer refusing() throws IOException {
        return ScriptedServer.start(
                (request, socket, out) -> ScriptedServer.writeResponse(out, 503, "X-Not-Run: true\r\n", "busy"));
    }

    private static String outcome(HttpResponse<String> response) {
        return response.headers().firstValue("x-cactusshift-outcome").orElse("");
    }

    @Test
    void forwardsACallWithoutCredentialsAndGatewayHeaders() throws Exception {
        try (ScriptedServer service = healthy();
                GatewayFixture gateway = GatewayFixture.withServices(service.address())) {
            HttpResponse<String> response = gateway.post(
                    PAY_PATH,
                    "body",
                    "api-key",
                    "s3cr3t",
                    "X-Api-Key",
                    "s3cr3t",
                    "Idempotency-Key",
                    "i1",
                    "X-Own",
                    "o",
                    "x-cactusshift-timeout-ms",
                    "9000",
                    "Proxy-Authorization",
                    "s3cr3t");
            assertEquals(201, response.statusCode());
            assertEquals("paid", response.body());
            assertEquals("yes", response.headers().firstValue("x-kept").orElse(""));
            ScriptedServer.Received received = service.receivedRequests().get(0);
            assertEquals("POST /pay?crew=1 HTTP/1.1", received.line());
            assertEquals("body", received.body());
            assertEquals("i1", received.header("Idempotency-Key"));
            assertEquals("o", received.header("X-Own"));
            assertNull(received.header("x-cactusshift-timeout-ms"));
            String all = received.headers().toString();
            assertFalse(all.contains("s3cr3t") || all.contains("secret"), all);
            assertEquals(1, gateway.usageRecords.get(0).requests());
        }
    }

    @Test
    void removesHeadersThatTheConnectionHeaderNames() throws Exception {
        try (ScriptedServer service = healthy();
                GatewayFixture gateway = GatewayFixture.withServices(service.address());
                RawClient caller = RawClient.connect(gateway.listener.address())) {
            caller.send("GET /services/settle-app/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "
                    + GatewayFixture.BEARER_TOKEN
                    + "\r\nConnection: close, X-Hop, Content-Type\r\nX-Hop: 1\r\nTE: trailers\r\n"
                    + "Content-Type: text/x\r\n\r\n");
            assertTrue(caller.readToEnd().startsWith("HTTP/1.1 201"));
            assertEquals("text/x", service.receivedRequests().get(0).header("Content-Type"));
            assertNull(service.receivedRequests().get(0).header("X-Hop"));
            assertNull(service.receivedRequests().get(0).header("TE"));
        }
    }

    /** A fault at the first upstream of a call. */
    enum Fault {
        CRASH,
        REFUSAL,
        TRUNCATED_RESPONSE,
        RESPONSE_TO_ANOTHER_ATTEMPT;

        ScriptedServer start() throws IOException {
            return switch (this) {
                case CRASH -> crashing();
                case REFUSAL -> refusing();
                case TRUNCATED_RESPONSE ->
                    ScriptedServer.start((request, socket, out) -> {
                        out.write(
                                "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npai".getBytes(StandardCharsets.US_ASCII));
                        socket.close();
                    });
                case RESPONSE_TO_ANOTHER_ATTEMPT ->
                    ScriptedServer.start((request, socket, out) ->
                            ScriptedServer.writeResponse(out, 200, "X-Request-Id: other\r\n", "someone else's"));
            };
        }
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void aNonRepeatableCallIsRetriedOnlyWhenItDidNotRun(Fault fault) throws Exception {
        try (ScriptedServer first = fault.start();
                ScriptedServer second = healthy();
                GatewayFixture gateway = GatewayFixture.withServices(first.address(), second.address())) {
            for (String[] headers : new String[][] {{}, {"Idempotency-Key", "i1"}}) {
                int before = second.receivedRequests().size();
                HttpResponse<String> response = gateway.post(PAY_PATH, "body", headers);
                if (fault == Fault.REFUSAL) {
                    assertEquals(201, response.statusCode());
                } else {
                    assertEquals(502, response.statusCode());
                    assertEquals("unknown", outcome(response));
                    assertEquals(before, second.receivedRequests().size());
                }
            }
        }
    }

    @ParameterizedTest
    @CsvSource({
        "GET,/services/settle-app/pay,''",
        "HEAD,/services/settle-app/pay,''",
        "POST,/services/settle-app/balance,''",
        "POST,/services/settle-app/balance/x,''",
        "PUT,/services/settle-app/balance?x=1,i1"
    })
    void aRepeatableCallIsRetried(String method, String path, String key) throws Exception {
        try (ScriptedServer first = crashing();
                ScriptedServer second = healthy();
                GatewayFixture gateway = GatewayFixture.withServices(first.address(), second.address())) {
            HttpRequest.Builder builder =
                    gateway.request(path).method(method, HttpRequest.BodyPublishers.ofString("b"));
            if (!key.isEmpty()) {
                builder.header("Idempotency-Key", key);
            }
            assertEquals(201, gateway.send(builder.build()).statusCode());
            assertTrue(gateway.claims.calls.isEmpty());
        }
    }

    @ParameterizedTest
    @CsvSource({
        "POST,/services/settle-app/balance-transfer,X-None",
        "POST,/services/settle-app/Balance,X-None",
        "GET,/services/settle-app/pay,X-HTTP-Method-Override",
        "DELETE,/services/settle-app/pay,X-None",
        "OPTIONS,/services/settle-app/pay,X-None"
    })
    void nonRepeatableCallsAreNotRetried(String method, String path, String header) throws Exception {
        try (ScriptedServer first = crashing();
                ScriptedServer second = healthy();
                GatewayFixture gateway = GatewayFixture.withServices(first.address(), second.address())) {
            HttpRequest request = gateway.request(path)
                    .method(method, HttpRequest.BodyPublishers.noBody())
                    .header(header, "POST")
                    .build();
            assertEquals("unknown", outcome(gateway.send(request)));
            assertTrue(second.receivedRequests().isEmpty());
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "/balance/../pay",
                "/balance/%2e%2e/pay",
                "/balance/%2E./pay",
                "/balance/..;x/pay",
                "/balance%2f..%2fpay",
                "/balance//pay",
                "/balance/%252e%252e/pay",
                "/balance/%5c../pay",
                "/./pay"
            })
    void refusesAmbiguousPaths(String path) throws Exception {
        try (ScriptedServer service = healthy();
                GatewayFixture gateway = GatewayFixture.withServices(service.address());
                RawClient caller = RawClient.connect(gateway.listener.address())) {
            caller.send("POST /services/settle-app" + path + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "
                    + GatewayFixture.BEARER_TOKEN + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
            String response = caller.readToEnd();
            assertTrue(response.startsWith("HTTP/1.1 400"), response);
            assertTrue(service.receivedRequests().isEmpty());
        }
    }

    @Test
    void aRepeatGetsTheRecordedResponseAndAnotherBodyIsRejected() throws Exception {
        try (ScriptedServer service = healthy();
                GatewayFixture gateway = GatewayFixture.withServices(service.address())) {
            HttpResponse<String> first = gateway.post(PAY_PATH, "body", "Idempotency-Key", "i1");
            HttpResponse<String> repeat = gateway.post(PAY_PATH, "body", "Idempotency-Key", "i1");
            assertEquals(first.statusCode(), repeat.statusCode());
            assertEquals("paid", repeat.body());
            assertEquals(
                    "text/plain", repeat.headers().firstValue("content-type").orElse(""));
            assertEquals(1, service.receivedRequests().size());
            HttpResponse<String> other = gateway.post(PAY_PATH, "other body", "Idempotency-Key", "i1");
            assertEquals(422, other.statusCode());
            assertEquals(1, service.receivedRequests().size());
            assertEquals(List.of("claim", "record 201", "claim", "claim"), gateway.claims.calls);
        }
    }

    @Test
    void aRepeatOfALostCallIsRefusedWithUnknownOutcome() throws Exception {
        try (ScriptedServer service = crashing();
                GatewayFixture gateway = GatewayFixture.withServices(service.address())) {
            gateway.post(PAY_PATH, "body", "Idempotency-Key", "i1");
            HttpResponse<String> repeat = gateway.post(PAY_PATH, "body", "Idempotency-Key", "i1");
            assertEquals(409, repeat.statusCode());
            assertEquals("unknown", outcome(repeat));
            assertEquals(1, service.receivedRequests().size());
            assertEquals(List.of("claim", "record unknown", "claim"), gateway.claims.calls);
        }
    }

    @Test
    void aClaimIsWithdrawnWhenTheCallDidNotRun() throws Exception {
        try (ScriptedServer service = refusing();
                GatewayFixture gateway = GatewayFixture.withServices(service.address())) {
            HttpResponse<String> response = gateway.post(PAY_PATH, "body", "Idempotency-Key", "i1");
            assertEquals(503, response.statusCode());
            assertEquals("not-run", outcome(response));
            assertEquals("2", response.headers().firstValue("retry-after").orElse(""));
            assertEquals(List.of("claim", "release"), gateway.claims.calls);
        }
    }

    @Test
    void aCallIsRefusedAsNotRunWhenClaimsAreUnavailable() throws Exception {
        try (ScriptedServer service = healthy();
                GatewayFixture gateway = GatewayFixture.withServices(service.address())) {
            gateway.claims.available = false;
            HttpResponse<String> response = gateway.post(PAY_PATH, "body", "Idempotency-Key", "i1");
            assertEquals(503, response.statusCode());
            assertEquals("not-run", outcome(response));
            assertTrue(service.receivedRequests().isEmpty());
        }
    }

    @Test
    void aClaimedCallIsFinishedWhenItsCallerDisconnects() throws Exception {
        CountDownLatch started = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        try (ScriptedServer service = ScriptedServer.start((request, socket, out) -> {
                    started.countDown();
                    release.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
                    ScriptedServer.writeResponse(out, 200, "", "paid");
                });
                GatewayFixture gateway = GatewayFixture.withServices(service.address())) {
            try (RawClient caller = RawClient.connect(gateway.listener.address())) {
                caller.send("POST /services/settle-app/pay HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "
                        + GatewayFixture.BEARER_TOKEN + "\r\nIdempotency-Key: i1\r\nContent-Length: 4\r\n\r\nbody");
                assertTrue(started.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            }
            // Longer than the gateway's 200 ms interval between checks for a disconnected caller.
            Thread.sleep(400);
            release.countDown();
            GatewayFixture.await(() -> gateway.claims.calls.equals(List.of("claim", "record 200")));
        }
    }

    /** The rows: whether the service names the request in its responses, and how many connections two calls take. */
    @ParameterizedTest
    @CsvSource({"true, 1", "false, 2"})
    void returnsLargeResponsesCompleteAndReusesAConnectionOnWhichRequestsAreNamed(boolean isNamed, int connections)
            throws Exception {
        String large = "0123456789".repeat(30_000);
        try (ScriptedServer service = ScriptedServer.start((request, socket, out) -> ScriptedServer.writeResponse(
                        out, 200, isNamed ? "X-Request-Id: " + request.header("X-Request-Id") + "\r\n" : "", large));
                GatewayFixture gateway = GatewayFixture.withServices(service.address())) {
            assertEquals(
                    large,
                    gateway.post(PAY_PATH, "body", "Idempotency-Key", "i1").body());
            assertEquals(
                    "300000",
                    gateway.post("/services/settle-app/balance", "")
                            .headers()
                            .firstValue("content-length")
                            .orElse(""));
            assertEquals(connections, service.connectionCount());
        }
    }

    /** Where a response is interrupted by a silence of its upstream. */
    enum Silence {
        BEFORE_RESPONSE(0),
        IN_BUFFERED_BODY(8),
        /** The part of the response before the silence has reached the caller. */
        IN_STREAMED_BODY(100_000);

        private static final String PART = "0123456789";

        private final int bytesBefore;

        Silence(int bytesBefore) {
            this.bytesBefore = bytesBefore;
        }

        String body() {
            return PART.repeat(bytesBefore / PART.length() + 1);
        }

        /** Starts an upstream that counts down {@code silent} and goes on after {@code released}. */
        ScriptedServer start(CountDownLatch silent, CountDownLatch released) throws IOException {
            byte[] response = ("HTTP/1.1 201 Created\r\nContent-Length: " + body().length() + "\r\n\r\n" + body())
                    .getBytes(StandardCharsets.US_ASCII);
            int before = this == BEFORE_RESPONSE ? 0 : response.length - body().length() + bytesBefore;
            return ScriptedServer.start((request, socket, out) -> {
                out.write(response, 0, before);
                silent.countDown();
                released.await();
                out.write(response, before, response.length - before);
            });
        }
    }

    /**
     * Guards against giving up a silent upstream before a retry is granted, which loses the outcome of a call that may
     * run only once.
     */
    @ParameterizedTest
    @CsvSource({
        // path, retry budget ratio
        "/pay,0.2,BEFORE_RESPONSE",
        "/pay,0.2,IN_BUFFERED_BODY",
        "/pay,0.2,IN_STREAMED_BODY",
        "/balance,0,BEFORE_RESPONSE",
        "/balance,0,IN_BUFFERED_BODY",
        "/balance,0.2,IN_STREAMED_BODY"
    })
    void silentUpstreamIsNotGivenUpWhileNoRetryIsPossible(String path, double retryBudgetRatio, Silence silence)
            throws Exception {
        CountDownLatch silent = new CountDownLatch(1);
        CountDownLatch released = new CountDownLatch(1);
        try (ScriptedServer first = silence.start(silent, released);
                ScriptedServer second = silence.start(silent, released);
                GatewayFixture gateway = GatewayFixture.withServiceDispatcher(
                        GatewayFixture.PLAIN_SERVICE,
                        retryBudgetRatio,
                        GatewayFixture.REQUEST_TIMEOUT_MILLIS,
                        first.address(),
                        second.address())) {
            CompletableFuture<HttpResponse<String>> response = gateway.postAsync("/services/settle-app" + path, "body");
            assertTrue(silent.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            gateway.awaitProgressTimeout(response);
            released.countDown();
            HttpResponse<String> received = response.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            assertEquals(201, received.statusCode(), received.body());
            assertEquals(silence.body(), received.body());
            assertEquals(
                    1,
                    first.receivedRequests().size() + second.receivedRequests().size());
        }
    }

    /** Guards against holding a call that may run only once after its deadline. */
    @Test
    void nonRepeatableCallOfAnUnresponsiveUpstreamEndsAtItsDeadline() throws Exception {
        CountDownLatch connectionClosed = new CountDownLatch(1);
        try (ScriptedServer service = ScriptedServer.start((request, socket, out) -> {
                    if (socket.getInputStream().read() < 0) {
                        connectionClosed.countDown();
                    }
                });
                GatewayFixture gateway = GatewayFixture.withServiceDispatcher(
                        GatewayFixture.PLAIN_SERVICE, 0.2, GatewayFixture.REQUEST_TIMEOUT_MILLIS, service.address())) {
            // Longer than the progress timeout of the gateway.
            HttpResponse<String> response = gateway.post(PAY_PATH, "body", "x-cactusshift-timeout-ms", "3000");
            assertEquals(504, response.statusCode());
            assertEquals("unknown", outcome(response));
            assertTrue(connectionClosed.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        }
    }
}
