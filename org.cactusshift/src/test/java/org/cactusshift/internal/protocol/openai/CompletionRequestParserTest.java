package org.cactusshift.internal.protocol.openai;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cactusshift.internal.protocol.openai.CompletionRequest.Kind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class CompletionRequestParserTest {
    private static final String VALID = "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"héllo\"},"
            + "{\"role\":\"assistant\",\"content\":null,\"tool_calls\":[]},"
            + "{\"role\":\"user\",\"content\":[{\"type\":\"text\",\"text\":\"ab\"},{\"type\":\"image_url\"}]}],"
            + "\"max_tokens\":5,\"stream\":true,\"stream_options\":{\"include_usage\":true},\"other\":[1,{}]}";

    private static Either<ApiError, CompletionRequest> parse(Kind kind, String body) {
        return CompletionRequestParser.parse(kind, body.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void parsesAChatRequest() {
        CompletionRequest request = parse(Kind.CHAT, VALID).get();
        assertEquals("m", request.model());
        assertEquals(5, request.maximumOutputTokens());
        assertTrue(request.isStreamed());
        assertTrue(request.isUsageIncluded());
        // "user\nhéllo\n" + "assistant\n\n" + "user\nab\n" has 30 characters, at 4 characters per token.
        assertEquals(8, request.promptTokens());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "{",
                "[]",
                "null",
                "1",
                "\"x\"",
                "{} {}",
                "{\"model\":\"m\"",
                "\u0000",
                "{\"model\":NaN,\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}"
            })
    void rejectsWhatIsNotOneJsonObject(String body) {
        ApiError error = parse(Kind.CHAT, body).getLeft();
        assertEquals(400, error.status());
        assertEquals("the body is not one JSON object", error.message());
    }

    @Test
    void rejectsDeepNesting() {
        assertTrue(parse(Kind.CHAT, "{\"a\":".repeat(100_000)).isLeft());
        assertTrue(parse(Kind.CHAT, "{\"a\":" + "[".repeat(500) + "]".repeat(500) + "}")
                .isLeft());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "model|5",
                "model|''",
                "model|null",
                "messages|{}",
                "messages|[]",
                "messages[0].role|[{\"content\":\"x\"}]",
                "messages[0].role|[5]",
                "messages[0].content|[{\"role\":\"user\",\"content\":5}]",
                "messages[0].content|[{\"role\":\"user\",\"content\":[\"x\"]}]",
                "messages[0].content|[{\"role\":\"user\",\"content\":[{\"text\":5}]}]",
                "stream|\"yes\"",
                "stream_options|5",
                "stream_options.include_usage|{\"include_usage\":1}",
                "max_tokens|0",
                "max_tokens|-1",
                "max_tokens|1.5",
                "max_tokens|99999999999999999999",
                "max_completion_tokens|\"5\"",
                "temperature|\"hot\"",
                "n|2",
                "stop|[5]",
                "tools|{}"
            })
    void namesTheInvalidField(String param, String value) {
        String field = param.startsWith("messages") ? "messages" : param.replace(".include_usage", "");
        String json = value == null || value.isEmpty() ? "\"\"" : value;
        String body =
                "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}],\"" + field + "\":" + json + "}";
        ApiError error = parse(Kind.CHAT, body).getLeft();
        assertEquals(400, error.status(), body);
        assertEquals(param, error.param());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {"\"text\"|true", "[\"text\"]|true", "[\"a\",\"b\"]|false", "[1,2]|false", "{}|false", "null|false"
            })
    void acceptsOnePromptOnly(String prompt, boolean valid) {
        assertEquals(
                valid,
                parse(Kind.TEXT, "{\"model\":\"m\",\"prompt\":" + prompt + "}").isRight());
    }

    @Property(tries = 1000, seed = "20261203")
    void anyBytesAreParsedOrRejectedWithoutException(@ForAll byte[] body) {
        for (Kind kind : Kind.values()) {
            Either<ApiError, CompletionRequest> parsed = CompletionRequestParser.parse(kind, body);
            assertTrue(parsed.isRight() || parsed.getLeft().status() == 400);
        }
    }

    @Property(tries = 2000, seed = "20261203")
    void aDamagedRequestIsRejectedOrCanBeForwarded(
            @ForAll @IntRange(max = 400) int at, @ForAll char replacement, @ForAll @IntRange(max = 5) int removed) {
        int start = Math.min(at, VALID.length());
        int end = Math.min(start + removed, VALID.length());
        String damaged = VALID.substring(0, start) + replacement + VALID.substring(end);
        Either<ApiError, CompletionRequest> parsed = parse(Kind.CHAT, damaged);
        if (parsed.isRight()) {
            assertTrue(EngineRequest.initial(parsed.get()).toBytes().length > 0);
            assertTrue(EngineRequest.resumed(parsed.get(), "text", 1).toBytes().length > 0);
        } else {
            assertEquals(400, parsed.getLeft().status());
        }
    }
}
