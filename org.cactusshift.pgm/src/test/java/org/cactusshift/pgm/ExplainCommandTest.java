package org.cactusshift.pgm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ExplainCommandTest {
    private static final String LINE_START = "{\"time\":\"2026-12-04T00:00:";

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @TempDir
    private Path folder;

    private int explain(String... arguments) {
        Main main = Main.of(
                CommandRegistry.of(List.of(new ExplainCommand())),
                new Console(
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8)));
        return main.run(arguments);
    }

    private String writeLog() throws IOException {
        Path file = folder.resolve("log");
        Files.writeString(
                file,
                String.join(
                        "\n",
                        "not a line",
                        // A log collector puts a prefix before the JSON object.
                        "  1.5 n1 " + LINE_START
                                + "09Z\",\"node\":\"n1\",\"event\":\"request.ended\",\"request\":\"r1\"}",
                        LINE_START + "08Z\",\"node\":\"n1\",\"event\":\"attempt.ended\",\"request\":\"r1\","
                                + "\"upstream\":\"u1\",\"outcome\":\"broken\"}",
                        LINE_START + "08Z\",\"node\":\"n2\",\"event\":\"attempt.ended\",\"request\":\"r2\","
                                + "\"upstream\":\"u1\",\"outcome\":\"broken\"}",
                        LINE_START + "08Z\",\"node\":\"n2\",\"event\":\"attempt.ended\",\"request\":\"r3\","
                                + "\"upstream\":\"u2\",\"outcome\":\"broken\"}",
                        LINE_START + "07Z\",\"node\":\"n1\",\"event\":\"upstream.gone\",\"upstream\":\"u1\"}",
                        LINE_START + "07Z\",\"node\":\"n3\",\"event\":\"store.lost\"}",
                        LINE_START + "01Z\",\"node\":\"n1\",\"event\":\"store.lost\"}"));
        return file.toString();
    }

    @Test
    void printsRequestLinesInOrderWithNodeEventsAndFailedAttemptsAtSameUpstream() throws IOException {
        assertEquals(ExitStatus.SUCCESS, explain("explain", "r1", "--log", writeLog()));
        List<String> lines = out.toString(StandardCharsets.UTF_8).lines().toList();
        // Left out: r3 at another upstream, an event of a node without lines of r1, and an event before the window.
        assertEquals(4, lines.size(), lines.toString());
        assertTrue(lines.get(0).contains("upstream.gone"));
        assertTrue(lines.get(1).contains("\"r1\""));
        assertTrue(lines.get(2).contains("\"r2\""));
        assertTrue(lines.get(3).contains("request.ended"));
    }

    @Test
    void failsForUnknownRequest() throws IOException {
        assertEquals(ExitStatus.FAILED, explain("explain", "r9", "--log", writeLog()));
        assertTrue(err.toString(StandardCharsets.UTF_8).contains("r9"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"explain r1", "explain --log x", "explain r1 r2 --log x"})
    void returnsUsageStatusForMissingOrSurplusArguments(String line) {
        assertEquals(ExitStatus.USAGE, explain(line.split(" ")));
    }

    @Test
    void failsForMissingFile() {
        assertEquals(
                ExitStatus.FAILED,
                explain("explain", "r1", "--log", folder.resolve("none").toString()));
        assertTrue(err.toString(StandardCharsets.UTF_8).contains("none"));
    }
}
