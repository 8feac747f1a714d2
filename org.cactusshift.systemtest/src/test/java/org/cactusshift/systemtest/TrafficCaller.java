package org.cactusshift.systemtest;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.cactusshift.config.Json;
import org.cactusshift.id.AccountId;
import org.cactusshift.internal.protocol.openai.SseParser;
import org.cactusshift.internal.transport.http.HttpClientExchange;
import org.cactusshift.internal.transport.http.HttpClientPool;
import org.cactusshift.internal.transport.http.HttpClientSettings;
import org.cactusshift.internal.transport.http.HttpExchangeException;
import org.cactusshift.internal.transport.http.ResponseNeededCheck;
import org.cactusshift.standin.engine.ExpectedAnswer;
import org.cactusshift.systemtest.CallResult.Outcome;

/** Sends calls to nodes over HTTP and classifies each response by comparing it with what the stand-ins return. */
final class TrafficCaller implements AutoCloseable {
    static final String MODEL = "share-lm";

    static final String PLAIN_SERVICE = "settle-app";

    private static final HttpClientSettings CLIENT_SETTINGS = new HttpClientSettings(2_000, 60_000, 4_096, 10_000);

    private static final long CALL_TIMEOUT_MILLIS = 20_000;

    private static final long RESPONSE_TIMEOUT_MILLIS = 60_000;

    private static final int MAXIMUM_RESPONSE_BYTES = 1 << 20;

    private static final int BUFFER_BYTES = 8 * 1024;

    private static final int OK = 200;

    /** The stand-in service returns the hash code of the request path modulo this number as the balance. */
    private static final int BALANCE_MODULUS = 1_000_000;

    private final Function<AccountId, String> bearerTokenOf;

    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

    private final HttpClientPool pool =
            HttpClientPool.create(() -> CLIENT_SETTINGS, () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()), timer);

    TrafficCaller(Function<AccountId, String> bearerTokenOf) {
        this.bearerTokenOf = bearerTokenOf;
    }

    /** Sends a call to a node and reads the response to its end. */
    CallResult call(String nodeAddress, TrafficCall call) {
        Either<HttpExchangeException, HttpClientExchange> sent =
                pool.send(nodeAddress, request(call), ResponseNeededCheck.ALWAYS_NEEDED, RESPONSE_TIMEOUT_MILLIS);
        if (sent.isLeft()) {
            HttpExchangeException failure = sent.getLeft();
            boolean unsent = failure.reason() == HttpExchangeException.Reason.NOT_SENT;
            return CallResult.of(call, nodeAddress, unsent ? Outcome.NOT_SENT : Outcome.LOST, failure.toString());
        }
        try (HttpClientExchange exchange = sent.get()) {
            if (exchange.status() != OK) {
                return classifyRefusal(call, nodeAddress, exchange);
            }
            return switch (call.kind()) {
                case STREAMED_CHAT -> classifyStreamed(call, nodeAddress, exchange);
                case WHOLE_CHAT -> classifyNonStreamed(call, nodeAddress, exchange);
                case PAYOUT, BALANCE -> classifyPlain(call, nodeAddress, exchange);
            };
        } catch (IOException e) {
            return CallResult.of(call, nodeAddress, Outcome.LOST, e.toString());
        }
    }

    @Override
    public void close() {
        pool.close();
        timer.shutdownNow();
    }

    private CallResult classifyRefusal(TrafficCall call, String nodeAddress, HttpClientExchange exchange)
            throws IOException {
        JsonNode response = Json.mapper().readTree(exchange.readAll(MAXIMUM_RESPONSE_BYTES));
        String detail = exchange.status() + " " + response.at("/error/code").asText("");
        return switch (exchange.header("x-cactusshift-outcome").orElse("")) {
            case "not-run" -> CallResult.of(call, nodeAddress, Outcome.NOT_RUN, detail);
            case "unknown" -> CallResult.of(call, nodeAddress, Outcome.UNKNOWN, detail);
            default -> CallResult.of(call, nodeAddress, Outcome.WRONG, detail + " without an outcome header");
        };
    }

    private static CallResult classifyPlain(TrafficCall call, String nodeAddress, HttpClientExchange exchange)
            throws IOException {
        JsonNode response = Json.mapper().readTree(exchange.readAll(MAXIMUM_RESPONSE_BYTES));
        String path = "/balance/" + call.account();
        boolean correct = call.kind() == TrafficCall.Kind.PAYOUT
                ? response.path("payment_id").asText().equals(call.promptOrPaymentId())
                : response.path("balance_cents").asInt(-1) == Math.floorMod(path.hashCode(), BALANCE_MODULUS);
        return CallResult.of(call, nodeAddress, correct ? Outcome.ANSWERED : Outcome.WRONG, response.toString());
    }

    private static CallResult classifyNonStreamed(TrafficCall call, String nodeAddress, HttpClientExchange exchange)
            throws IOException {
        JsonNode response = Json.mapper().readTree(exchange.readAll(MAXIMUM_RESPONSE_BYTES));
        return classifyComplete(
                call, nodeAddress, response.at("/choices/0/message/content").asText(""), response.path("usage"));
    }

    private static CallResult classifyStreamed(TrafficCall call, String nodeAddress, HttpClientExchange exchange)
            throws IOException {
        StringBuilder text = new StringBuilder();
        JsonNode usage = Json.mapper().missingNode();
        String error = "";
        boolean done = false;
        SseParser parser = new SseParser();
        byte[] buffer = new byte[BUFFER_BYTES];
        for (int length = exchange.read(buffer); length >= 0; length = exchange.read(buffer)) {
            parser.feed(buffer, length);
            for (String event = parser.poll(); event != null; event = parser.poll()) {
                if (event.equals("[DONE]")) {
                    done = true;
                    continue;
                }
                JsonNode chunk = Json.mapper().readTree(event);
                error = chunk.has("error") ? chunk.at("/error/code").asText("no error code") : error;
                usage = chunk.path("usage").isObject() ? chunk.path("usage") : usage;
                text.append(chunk.at("/choices/0/delta/content").asText(""));
            }
        }
        if (!error.isEmpty()) {
            return classifyEndedEarly(call, nodeAddress, text, error);
        }
        return done
                ? classifyComplete(call, nodeAddress, text.toString(), usage)
                : CallResult.of(call, nodeAddress, Outcome.LOST, "the stream ended without [DONE]");
    }

    private static CallResult classifyEndedEarly(
            TrafficCall call, String nodeAddress, StringBuilder text, String error) {
        // Such a stream carries no usage; the nodes report the canonical prompt and the delivered text.
        boolean correct =
                ExpectedAnswer.forUserMessage(call.promptOrPaymentId()).startsWith(text.toString());
        return new CallResult(
                call,
                nodeAddress,
                correct ? Outcome.ENDED_EARLY : Outcome.WRONG,
                tokensOf("user\n" + call.promptOrPaymentId() + "\n"),
                tokensOf(text),
                error);
    }

    private static CallResult classifyComplete(TrafficCall call, String nodeAddress, String text, JsonNode usage) {
        boolean correct = text.equals(
                ExpectedAnswer.forUserMessage(call.promptOrPaymentId()).text(call.maximumTokens()));
        return new CallResult(
                call,
                nodeAddress,
                correct ? Outcome.ANSWERED : Outcome.WRONG,
                usage.path("prompt_tokens").asLong(),
                usage.path("completion_tokens").asLong(),
                text.length() + " characters");
    }

    private static long tokensOf(CharSequence text) {
        return (text.length() + ExpectedAnswer.TOKEN_CHARS - 1) / ExpectedAnswer.TOKEN_CHARS;
    }

    private ClassicHttpRequest request(TrafficCall call) {
        ClassicRequestBuilder builder =
                switch (call.kind()) {
                    case STREAMED_CHAT, WHOLE_CHAT -> chat(call);
                    case PAYOUT -> payout(call);
                    case BALANCE ->
                        ClassicRequestBuilder.get("/services/" + PLAIN_SERVICE + "/balance/" + call.account());
                };
        return builder.addHeader("Authorization", "Bearer " + bearerTokenOf.apply(call.account()))
                .addHeader("x-cactusshift-timeout-ms", Long.toString(CALL_TIMEOUT_MILLIS))
                .build();
    }

    private static ClassicRequestBuilder chat(TrafficCall call) {
        boolean streamed = call.kind() == TrafficCall.Kind.STREAMED_CHAT;
        ObjectNode body = Json.mapper()
                .createObjectNode()
                .put("model", MODEL)
                .put("max_tokens", call.maximumTokens())
                .put("stream", streamed);
        body.putArray("messages").addObject().put("role", "user").put("content", call.promptOrPaymentId());
        if (streamed) {
            body.putObject("stream_options").put("include_usage", true);
        }
        return ClassicRequestBuilder.post("/v1/chat/completions")
                .setEntity(body.toString(), ContentType.APPLICATION_JSON);
    }

    private static ClassicRequestBuilder payout(TrafficCall call) {
        ObjectNode body = Json.mapper().createObjectNode().put("payment_id", call.promptOrPaymentId());
        return ClassicRequestBuilder.post("/services/" + PLAIN_SERVICE + "/payouts")
                .addHeader("Idempotency-Key", call.promptOrPaymentId())
                .setEntity(body.toString(), ContentType.APPLICATION_JSON);
    }
}
