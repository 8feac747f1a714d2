package org.cactusshift.replay;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.vavr.control.Either;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.GZIPInputStream;
import org.cactusshift.errors.Failure;

/**
 * Reads traces: one JSON object per line, first the header and then the events ordered by time; gzip-compressed if the
 * file name ends with {@code .gz}.
 */
public final class TraceReader {
    private static final String STEP = "read trace";

    private TraceReader() {}

    /**
     * Reads a trace.
     *
     * @param path the file
     * @return the trace, or the failure with the number of the line that is not readable
     */
    public static Either<Failure, Trace> read(Path path) {
        int line = 1;
        try (BufferedReader reader = open(path)) {
            String first = reader.readLine();
            if (first == null) {
                return failure(path, line, "the file is empty");
            }
            TraceHeader header = TraceJson.MAPPER.readValue(first, TraceHeader.class);
            if (header.version() != Trace.FORMAT_VERSION) {
                return failure(
                        path,
                        line,
                        "unsupported trace format version " + header.version() + ", expected " + Trace.FORMAT_VERSION);
            }
            List<TraceEvent> events = new ArrayList<>();
            long lastMillis = 0;
            for (String text = reader.readLine(); text != null; text = reader.readLine()) {
                line++;
                TraceEvent event = TraceJson.MAPPER.readValue(text, TraceEvent.class);
                if (event.atMillis() < lastMillis) {
                    return failure(path, line, "the event is earlier than the event on the line before");
                }
                lastMillis = event.atMillis();
                events.add(event);
            }
            return Either.right(new Trace(header, events));
        } catch (JsonProcessingException e) {
            return failure(path, line, e.getOriginalMessage());
        } catch (IOException e) {
            return failure(path, line, e.toString());
        }
    }

    private static BufferedReader open(Path path) throws IOException {
        InputStream bytes = Files.newInputStream(path);
        try {
            InputStream text = TraceJson.hasGzipName(path) ? new GZIPInputStream(bytes) : bytes;
            return new BufferedReader(new InputStreamReader(text, StandardCharsets.UTF_8));
        } catch (IOException e) {
            bytes.close();
            throw e;
        }
    }

    private static Either<Failure, Trace> failure(Path path, int line, String message) {
        return Either.left(Failure.rejected(STEP, "local", path + ":" + line + ": " + message));
    }
}
