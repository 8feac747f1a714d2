package org.cactusshift.replay;

import io.vavr.control.Either;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.OutputStream;
import java.io.OutputStreamWriter;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.zip.GZIPOutputStream;
import org.cactusshift.errors.Failure;

/** Writes traces; the same trace always gives the same bytes. */
public final class TraceWriter {
    private TraceWriter() {}

    /**
     * Writes a trace.
     *
     * @param trace the trace
     * @param path the file, which is overwritten if it exists and compressed if its name ends with {@code .gz}
     * @return the path, or the failure
     */
    public static Either<Failure, Path> write(Trace trace, Path path) {
        try (OutputStream bytes = Files.newOutputStream(path);
                OutputStream text = TraceJson.hasGzipName(path) ? new GZIPOutputStream(bytes) : bytes;
                Writer writer = new BufferedWriter(new OutputStreamWriter(text, StandardCharsets.UTF_8))) {
            writer.write(TraceJson.MAPPER.writeValueAsString(trace.header()));
            writer.write('\n');
            for (TraceEvent event : trace.events()) {
                writer.write(TraceJson.MAPPER.writeValueAsString(event));
                writer.write('\n');
            }
            return Either.right(path);
        } catch (IOException e) {
            return Either.left(Failure.unknownEffect("write trace", "local", path + ": " + e));
        }
    }
}
