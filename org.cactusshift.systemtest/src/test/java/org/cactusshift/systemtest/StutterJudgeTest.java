package org.cactusshift.systemtest;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cactusshift.standin.site.RawHttpCaller;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that the judge catches each planted fault, and nothing else. */
class StutterJudgeTest {
    private final StutterJudge judge = new StutterJudge();

    private List<String> kinds() {
        return judge.violations().stream().map(StutterJudge.Violation::kind).toList();
    }

    private static RawHttpCaller.Response response(int status, String signature, String body, boolean complete) {
        Map<String, String> headers = signature.isEmpty() ? Map.of() : Map.of("response-signature", signature);
        return new RawHttpCaller.Response(status, headers, body, complete);
    }

    private void runOnce(String path, int status, String body) {
        judge.onSent("r1", path, "text", StutterMode.LATE);
        judge.onRun("r1", path);
        judge.onBody("r1", "text");
        judge.onAnswer("r1", new StutterJudge.Answer(status, "s1", body));
    }

    @ParameterizedTest
    @CsvSource({
        // The status that the upstream answered with, and what the caller got.
        "200, 200, s1, own, true, 0",
        "200, 200, s1, ow, false, 0",
        "500, 500, s1, own, true, 0",
        "200, 502, '', other, true, 0",
        "200, 0, '', '', false, 0",
        "500, 200, s1, own, true, 1",
        "200, 500, s1, own, true, 1",
        "200, 200, s9, own, true, 1",
        "200, 200, '', own, true, 1",
        "200, 200, s1, other, true, 1",
        "200, 200, s1, ow, true, 1",
        "200, 200, s1, '', true, 1",
        "200, 200, s1, ot, false, 1",
        "200, 502, s9, other, true, 1"
    })
    void responseToAnotherRequestIsMixed(
            int answered, int status, String signature, String body, boolean complete, int violations) {
        runOnce(StutterJudge.REPEATABLE, answered, "own");
        judge.onResponse("r1", response(status, signature, body, complete));
        assertEquals(violations == 0 ? List.of() : List.of("MIXED"), kinds());
    }

    @Test
    void responseThatNamesAnotherRequestIsMixed() {
        runOnce(StutterJudge.REPEATABLE, 200, "own");
        judge.onResponse(
                "r1",
                new RawHttpCaller.Response(200, Map.of("response-signature", "s1", "request-id", "r2"), "own", true));
        assertEquals(List.of("MIXED"), kinds());
    }

    @ParameterizedTest
    @CsvSource({"503, 1", "429, 1", "408, 1", "421, 1", "502, 0", "504, 0"})
    void refusalOfRequestThatRanIsCaught(int status, int violations) {
        runOnce(StutterJudge.NON_REPEATABLE, 200, "own");
        judge.onResponse("r1", response(status, "", "", true));
        assertEquals(violations == 0 ? List.of() : List.of("REFUSED"), kinds());
    }

    @ParameterizedTest
    @CsvSource({"503, /once/x, 1", "429, /once/x, 1", "502, /once/x, 0", "503, /again/x, 0"})
    void runAfterRefusalIsCaught(int status, String path, int violations) {
        judge.onSent("r1", path, "text", StutterMode.LATE);
        judge.onResponse("r1", response(status, "", "", true));
        judge.onRun("r1", path);
        assertEquals(violations == 0 ? List.of() : List.of("REFUSED"), kinds());
    }

    @ParameterizedTest
    @CsvSource({"/once/x, 1", "/again/x, 0", "/stream/x, 0"})
    void secondRunIsCaught(String path, int violations) {
        runOnce(path, 200, "own");
        judge.onRun("r1", path);
        assertEquals(violations == 0 ? List.of() : List.of("TWICE"), kinds());
    }

    @ParameterizedTest
    @CsvSource({
        // The numbers of the events, the request that the last one names, text after it, completeness, violations.
        "123456, r1, '', true, 0",
        "1234, r1, '', false, 0",
        "1234, r1, 'id: 5', false, 0",
        "12345, r1, '', true, 1",
        "'', r1, '', true, 1",
        "123556, r1, '', true, 1",
        "12346, r1, '', false, 1",
        "1233, r1, '', false, 1",
        "213456, r1, '', true, 1",
        "123456, r2, '', true, 1",
        "123456, r1, 'HTTP/1.1 503 X', true, 1",
        "1234, r1, 'HTTP/1.1 503 X', false, 1"
    })
    void eventsThatDoNotFitAreCaught(String numbers, String lastId, String tail, boolean complete, int violations) {
        runOnce(StutterJudge.STREAM, 200, "");
        String events = IntStream.range(0, numbers.length())
                .mapToObj(i -> StutterJudge.event(i == numbers.length() - 1 ? lastId : "r1", numbers.charAt(i) - '0'))
                .collect(Collectors.joining());
        judge.onResponse("r1", response(200, "s1", events + tail, complete));
        assertEquals(violations == 0 ? List.of() : List.of("ORDER"), kinds());
    }

    @ParameterizedTest
    @CsvSource({"r1, /again/x, te, 0", "r1, /once/x, text, 1", "r9, /again/x, text, 1", "r1, /again/x, tex?, 1"})
    void requestThatWasNotSentIsCaught(String id, String path, String body, int violations) {
        judge.onSent("r1", StutterJudge.REPEATABLE, "text", StutterMode.LATE);
        judge.onRun(id, path);
        judge.onBody(id, body);
        assertEquals(violations == 0 ? List.of() : List.of("UNASKED"), kinds());
    }

    @Test
    void onlySoundSuccessesAreServed() {
        runOnce(StutterJudge.REPEATABLE, 200, "own");
        judge.onResponse("r1", response(200, "s1", "own", true));
        judge.onSent("r2", StutterJudge.REPEATABLE, "text", StutterMode.LATE);
        judge.onResponse("r2", response(200, "s1", "own", true));
        judge.onSent("r3", StutterJudge.REPEATABLE, "text", StutterMode.LATE);
        judge.onResponse("r3", response(502, "", "", true));
        judge.onSent("r4", StutterJudge.REPEATABLE, "text", StutterMode.LATE);
        assertEquals(0.25, judge.servedShare());
    }
}
