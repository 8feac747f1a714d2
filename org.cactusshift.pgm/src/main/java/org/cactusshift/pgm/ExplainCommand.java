package org.cactusshift.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.cactusshift.errors.CactusshiftException;
import org.cactusshift.errors.Failure;

/**
 * Explains a request from the logs of nodes: prints its own lines, the configuration, store, duty and similar events of
 * its nodes around it, and the failed attempts of any node at its upstreams around it.
 */
public final class ExplainCommand implements Command {
    /** Events this long before a request are included; a lost lease or expired node entry affects it seconds later. */
    private static final long WINDOW_BEFORE_MILLIS = 5_000;

    /** Events this long after the last line of a request are included. */
    private static final long WINDOW_AFTER_MILLIS = 1_000;

    private static final List<String> SURROUNDING_EVENT_PREFIXES =
            List.of("config.", "site.", "store.", "upstream.", "duty.", "node.", "fleet.");

    private final ObjectMapper mapper = new ObjectMapper();

    private record LogLine(Instant time, String node, String event, JsonNode fields, String text) {}

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String summary() {
        return "prints the log lines that concern a request, by its id";
    }

    @Override
    public String arguments() {
        return "ID";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(Option.builder()
                        .longOpt("log")
                        .hasArg()
                        .argName("FILE")
                        .desc("the log lines of one or more nodes; - for standard input")
                        .get());
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException, CactusshiftException {
        if (line.getArgList().size() != 1) {
            throw new UsageException("exactly one request id is required");
        }
        String file = line.getOptionValue("log");
        if (file == null) {
            throw new UsageException("--log is missing");
        }
        String id = line.getArgList().get(0);
        List<LogLine> lines = read(file);
        List<LogLine> requestLines = lines.stream()
                .filter(entry -> entry.fields().path("request").asText().equals(id))
                .toList();
        if (requestLines.isEmpty()) {
            console.err().println("no line for request " + id + " among " + lines.size() + " readable JSON log lines");
            return ExitStatus.FAILED;
        }
        selectLines(lines, requestLines).forEach(entry -> console.out().println(entry.text()));
        return ExitStatus.SUCCESS;
    }

    private List<LogLine> read(String file) throws CactusshiftException {
        try (BufferedReader reader = file.equals("-")
                ? new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))
                : Files.newBufferedReader(Path.of(file))) {
            List<LogLine> lines = new ArrayList<>();
            for (String text = reader.readLine(); text != null; text = reader.readLine()) {
                parse(text).ifPresent(lines::add);
            }
            lines.sort(Comparator.comparing(LogLine::time));
            return lines;
        } catch (IOException e) {
            throw new CactusshiftException(
                    Failure.noEffect("read log", file, "cannot read the file: " + e.getMessage()));
        }
    }

    /**
     * Parses a line. Text before the first brace, such as a collector's time stamp, is ignored.
     *
     * @return empty if the line has no brace, is not JSON or has no valid time
     */
    private Optional<LogLine> parse(String text) {
        int start = text.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        try {
            JsonNode fields = mapper.readTree(text.substring(start));
            return Optional.of(new LogLine(
                    Instant.parse(fields.path("time").asText()),
                    fields.path("node").asText(),
                    fields.path("event").asText(),
                    fields,
                    text.substring(start)));
        } catch (IOException | DateTimeParseException e) {
            return Optional.empty();
        }
    }

    private static List<LogLine> selectLines(List<LogLine> lines, List<LogLine> requestLines) {
        Set<String> nodes = new HashSet<>();
        Set<String> upstreams = new HashSet<>();
        for (LogLine line : requestLines) {
            nodes.add(line.node());
            // Lines without an upstream get "-" here and "" below, so that they do not match each other.
            upstreams.add(line.fields().path("upstream").asText("-"));
        }
        Instant from = requestLines.get(0).time().minusMillis(WINDOW_BEFORE_MILLIS);
        Instant to = requestLines.get(requestLines.size() - 1).time().plusMillis(WINDOW_AFTER_MILLIS);
        List<LogLine> selected = new ArrayList<>();
        for (LogLine line : lines) {
            boolean inWindow = !line.time().isBefore(from) && !line.time().isAfter(to);
            boolean isSurroundingEvent = inWindow
                    && nodes.contains(line.node())
                    && SURROUNDING_EVENT_PREFIXES.stream().anyMatch(line.event()::startsWith);
            // An attempt succeeds with the outcome answered (complete response) or read (prefilled prompt).
            boolean isFailedAttemptAtSameUpstream = inWindow
                    && line.event().equals("attempt.ended")
                    && upstreams.contains(line.fields().path("upstream").asText())
                    && !line.fields().path("outcome").asText().matches("answered|read");
            if (requestLines.contains(line) || isSurroundingEvent || isFailedAttemptAtSameUpstream) {
                selected.add(line);
            }
        }
        return selected;
    }
}
