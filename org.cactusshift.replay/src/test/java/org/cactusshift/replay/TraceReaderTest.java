package org.cactusshift.replay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class TraceReaderTest {
    @TempDir
    Path directory;

    @ParameterizedTest
    @EnumSource(Scenario.class)
    void readsWrittenTrace(Scenario scenario) {
        Trace trace = TraceGenerator.generate(SiteProfile.GH_SOUTH, scenario, 7);
        for (String name : List.of("trace.jsonl", "trace.jsonl.gz")) {
            Path file = TraceWriter.write(trace, directory.resolve(name)).get();
            assertEquals(trace, TraceReader.read(file).get());
        }
    }

    @ParameterizedTest
    @CsvSource({
        "'', the file is empty",
        "'{\"version\":99,\"services\":[],\"accounts\":[],\"upstreams\":[],\"outcomes\":[]}',"
                + " 'unsupported trace format version 99, expected 1'",
        "'{', trace.jsonl:1"
    })
    void failureNamesLineOrReason(String content, String message) throws IOException {
        Path file = Files.writeString(directory.resolve("trace.jsonl"), content);
        String failure = TraceReader.read(file).getLeft().toString();
        assertTrue(failure.contains(message), failure);
    }

    @Test
    void rejectsEventsOutOfOrder() throws IOException {
        Trace trace = TraceGenerator.generate(SiteProfile.BE_COAST, Scenario.FLOOD, 7);
        List<TraceEvent> swapped =
                List.of(trace.events().get(50), trace.events().get(0));
        Path file = TraceWriter.write(new Trace(trace.header(), swapped), directory.resolve("trace.jsonl"))
                .get();
        String failure = TraceReader.read(file).getLeft().toString();
        assertTrue(failure.contains("trace.jsonl:3: the event is earlier"), failure);
    }
}
