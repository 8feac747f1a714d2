package org.cactusshift.pgm.demo;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.cactusshift.config.Json;
import org.cactusshift.id.AccountId;
import org.cactusshift.internal.protocol.openai.SseParser;
import org.cactusshift.internal.transport.http.HttpClientExchange;
import org.cactusshift.internal.transport.http.HttpClientPool;
import org.cactusshift.internal.transport.http.HttpExchangeException;
import org.cactusshift.internal.transport.http.ResponseNeededCheck;
import org.cactusshift.standin.engine.ExpectedAnswer;

/** Sends calls to the caller API of a node and checks each response against the expected one. */
final class DemoCaller {
    private static final System.Logger LOG = System.getLogger(DemoCaller.class.getName());
    private static final String DONE = "[DONE]";
    private static final int OK = 200;
    private static final int MAXIMUM_RESPONSE_BYTES = 4 * 1024 * 1024;
    private static final int BUFFER_BYTES = 8 * 1024;
    /**
     * Added to the call's timeout for the longest time without progress of the node, so that a correct response after
     * the timeout is still read and counts as LATE.
     */
    private static final long LATE_RESPONSE_WAIT_MILLIS = 20_000;

    private final HttpClientPool pool;
    private final Function<AccountId, String> bearerTokenByAccount;
    private final LongSupplier clockMillis;

    DemoCaller(HttpClientPool pool, Function<AccountId, String> bearerTokenByAccount, LongSupplier clockMillis) {
        this.pool = pool;
        this.bearerTokenByAccount = bearerTokenByAccount;
        this.clockMillis = clockMillis;
    }

    /** Sends a call to a node and returns its result. */
    DemoResult call(String nodeAddress, DemoCall call) {
        long startMillis = clockMillis.getAsLong();
        Either<HttpExchangeException, HttpClientExchange> sent = pool.send(
                nodeAddress,
                request(call),
                ResponseNeededCheck.ALWAYS_NEEDED,
                call.timeoutMillis() + LATE_RESPONSE_WAIT_MILLIS);
        if (sent.isLeft()) {
            return DemoResult.failed(call, DemoResult.Outcome.UNKNOWN, clockMillis.getAsLong() - startMillis);
        }
        try (HttpClientExchange exchange = sent.get()) {
            if (exchange.status() != OK) {
                return errorResult(call, exchange, startMillis);
            }
            return call.isModelCall()
                    ? modelResult(call, exchange, startMillis)
                    : plainServiceResult(call, exchange, startMillis);
        } catch (IOException e) {
            LOG.log(
                    System.Logger.Level.ERROR,
                    "response could not be read or parsed, so the call counts as WRONG: " + e);
            return DemoResult.failed(call, DemoResult.Outcome.WRONG, clockMillis.getAsLong() - startMillis);
        }
    }

    private DemoResult errorResult(DemoCall call, HttpClientExchange exchange, long startMillis) throws IOException {
        JsonNode response = Json.mapper().readTree(exchange.readAll(MAXIMUM_RESPONSE_BYTES));
        boolean notRun = exchange.header("x-cactusshift-outcome").orElse("").equals("not-run");
        return DemoResult.refused(
                call,
                notRun ? DemoResult.Outcome.NOT_RUN : DemoResult.Outcome.UNKNOWN,
                clockMillis.getAsLong() - startMillis,
                response.at("/error/code").asText(""));
    }

    private DemoResult plainServiceResult(DemoCall call, HttpClientExchange exchange, long startMillis)
            throws IOException {
        JsonNode response = Json.mapper().readTree(exchange.readAll(MAXIMUM_RESPONSE_BYTES));
        boolean correct = call.paymentId()
                .map(payment -> response.path("payment_id").asText().equals(payment))
                .orElse(response.has("balance_cents"));
        return result(call, correct, startMillis, 0, 0, 0);
    }

    private DemoResult modelResult(DemoCall call, HttpClientExchange exchange, long startMillis) throws IOException {
        Answer answer = call.streamed() ? readStream(exchange) : readBody(exchange);
        if (!answer.errorCode.isEmpty()) {
            return streamErrorResult(call, answer, startMillis);
        }
        String expected = ExpectedAnswer.forUserMessage(call.prompt()).text(call.maximumTokens());
        boolean correct = answer.complete && answer.text.toString().equals(expected);
        if (!correct) {
            LOG.log(
                    System.Logger.Level.ERROR,
                    "answer is incomplete or differs from the expected one, so the call counts as WRONG: "
                            + "streamed {0}, complete {1}, {2} characters instead of {3}, request {4}",
                    call.streamed(),
                    answer.complete,
                    answer.text.length(),
                    expected.length(),
                    exchange.header("x-request-id").orElse(""));
        }
        long firstTokenMillis = answer.firstTokenAtMillis - startMillis;
        return result(call, correct, startMillis, firstTokenMillis, answer.promptTokens, answer.completionTokens);
    }

    /**
     * Returns the result of a stream that the node ended with an error.
     *
     * <p>The delivered part counts as usage. Its tokens are computed from the texts, with the prompt in the canonical
     * form of {@link ExpectedAnswer#forUserMessage}.
     */
    private DemoResult streamErrorResult(DemoCall call, Answer answer, long startMillis) {
        return new DemoResult(
                call,
                DemoResult.Outcome.UNKNOWN,
                clockMillis.getAsLong() - startMillis,
                0,
                countTokens("user\n" + call.prompt() + "\n"),
                countTokens(answer.text),
                answer.errorCode);
    }

    private static long countTokens(CharSequence text) {
        return (text.length() + ExpectedAnswer.TOKEN_CHARS - 1) / ExpectedAnswer.TOKEN_CHARS;
    }

    private DemoResult result(
            DemoCall call,
            boolean correct,
            long startMillis,
            long firstTokenMillis,
            long promptTokens,
            long completionTokens) {
        long latencyMillis = clockMillis.getAsLong() - startMillis;
        DemoResult.Outcome outcome = DemoResult.Outcome.WRONG;
        if (correct) {
            outcome = latencyMillis <= call.timeoutMillis() ? DemoResult.Outcome.IN_TIME : DemoResult.Outcome.LATE;
        }
        return new DemoResult(call, outcome, latencyMillis, firstTokenMillis, promptTokens, completionTokens, "");
    }

    private Answer readStream(HttpClientExchange exchange) throws IOException {
        Answer answer = new Answer();
        SseParser parser = new SseParser();
        byte[] buffer = new byte[BUFFER_BYTES];
        for (int length = exchange.read(buffer); length >= 0; length = exchange.read(buffer)) {
            parser.feed(buffer, length);
            for (String event = parser.poll(); event != null; event = parser.poll()) {
                applyEvent(answer, event);
            }
        }
        return answer;
    }

    private void applyEvent(Answer answer, String event) throws IOException {
        if (event.equals(DONE)) {
            answer.complete = true;
            return;
        }
        JsonNode chunk = Json.mapper().readTree(event);
        if (chunk.has("error")) {
            answer.errorCode = chunk.at("/error/code").asText("unnamed");
        }
        String content = chunk.at("/choices/0/delta/content").asText("");
        if (!content.isEmpty() && answer.text.length() == 0) {
            answer.firstTokenAtMillis = clockMillis.getAsLong();
        }
        answer.text.append(content);
        answer.readUsage(chunk);
    }

    private Answer readBody(HttpClientExchange exchange) throws IOException {
        Answer answer = new Answer();
        JsonNode body = Json.mapper().readTree(exchange.readAll(MAXIMUM_RESPONSE_BYTES));
        answer.firstTokenAtMillis = clockMillis.getAsLong();
        answer.text.append(body.at("/choices/0/message/content").asText(""));
        answer.readUsage(body);
        answer.complete = true;
        return answer;
    }

    private ClassicHttpRequest request(DemoCall call) {
        ClassicRequestBuilder builder = call.isModelCall() ? chatCompletionRequest(call) : plainServiceRequest(call);
        return builder.addHeader("Authorization", "Bearer " + bearerTokenByAccount.apply(call.account()))
                .addHeader("x-cactusshift-timeout-ms", Long.toString(call.timeoutMillis()))
                .build();
    }

    private static ClassicRequestBuilder chatCompletionRequest(DemoCall call) {
        ObjectNode body = Json.mapper()
                .createObjectNode()
                .put("model", call.service().value())
                .put("max_tokens", call.maximumTokens())
                .put("stream", call.streamed());
        body.putArray("messages").addObject().put("role", "user").put("content", call.prompt());
        if (call.streamed()) {
            body.putObject("stream_options").put("include_usage", true);
        }
        return ClassicRequestBuilder.post("/v1/chat/completions")
                .setEntity(toBytes(body), ContentType.APPLICATION_JSON);
    }

    private static ClassicRequestBuilder plainServiceRequest(DemoCall call) {
        String base = "/services/" + call.service();
        if (call.paymentId().isEmpty()) {
            return ClassicRequestBuilder.get(base + "/balance/" + call.account());
        }
        ObjectNode body = Json.mapper()
                .createObjectNode()
                .put("payment_id", call.paymentId().get());
        return ClassicRequestBuilder.post(base + "/payouts")
                .addHeader("Idempotency-Key", call.paymentId().get())
                .setEntity(toBytes(body), ContentType.APPLICATION_JSON);
    }

    private static byte[] toBytes(ObjectNode body) {
        try {
            return Json.mapper().writeValueAsString(body).getBytes(StandardCharsets.UTF_8);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("could not serialize a request body as JSON", e);
        }
    }

    /** The part of a model's answer that has been received so far. */
    private static final class Answer {
        private final StringBuilder text = new StringBuilder();
        /** Empty if no error event was received. */
        private String errorCode = "";

        private boolean complete;
        /** 0 before the first token. */
        private long firstTokenAtMillis;

        private long promptTokens;
        private long completionTokens;

        void readUsage(JsonNode node) {
            JsonNode usage = node.path("usage");
            if (usage.isObject()) {
                promptTokens = usage.path("prompt_tokens").asLong();
                completionTokens = usage.path("completion_tokens").asLong();
            }
        }
    }
}
