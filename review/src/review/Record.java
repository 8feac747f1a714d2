package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to record.txt, with the seconds since the start. */
final class Record {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void line(String text) {
        out.println(String.format(Locale.ROOT, "%8.3f %s", millis() / 1000.0, text));
    }

    /** Writes a line that is also printed. */
    synchronized void note(String text) {
        line(text);
        System.out.println(text);
    }

    synchronized void close() {
        out.close();
    }
}
