package org.cactusshift.internal.transport.relay;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Map;

/**
 * Writes log entries as JSON lines to a stream, from a thread of its own.
 *
 * <p>Entries above the maximum rate or queue length are dropped and counted; the count is written with the next entry
 * that is accepted.
 */
public final class JsonLinesLog implements EventLog {
    /** Maximum number of entries per second: four for each of 200 requests per second, the load of a small instance. */
    private static final int MAXIMUM_ENTRIES_PER_SECOND = 800;

    private static final int MAXIMUM_QUEUED_ENTRIES = 2_000;

    /** How long entries are collected before they are written together, as each write is a system call. */
    private static final long FLUSH_PERIOD_MILLIS = 200;

    private final OutputStream out;
    private final String node;
    private final RelayClock clock;
    private final JsonFactory json = new JsonFactory();
    private final ArrayDeque<String> queue = new ArrayDeque<>();
    private long secondStartedMillis;
    private int entriesInSecond;
    private long droppedEntries;

    private JsonLinesLog(OutputStream out, String node, RelayClock clock) {
        this.out = out;
        this.node = node;
        this.clock = clock;
    }

    /**
     * Returns a log and starts its writer thread.
     *
     * @param out the stream
     * @param node the id of this node, written in each line
     * @param clock the monotonic and the wall clock
     * @return the log
     */
    public static JsonLinesLog start(OutputStream out, String node, RelayClock clock) {
        JsonLinesLog log = new JsonLinesLog(out, node, clock);
        Thread writer = new Thread(log::writeQueued, "log-writer");
        writer.setDaemon(true);
        writer.start();
        return log;
    }

    @Override
    public void write(String event, Map<String, Object> fields) {
        long nowMillis = clock.monotonicMillis();
        synchronized (queue) {
            if (nowMillis - secondStartedMillis >= 1_000) {
                secondStartedMillis = nowMillis;
                entriesInSecond = 0;
            }
            if (entriesInSecond >= MAXIMUM_ENTRIES_PER_SECOND || queue.size() >= MAXIMUM_QUEUED_ENTRIES) {
                droppedEntries++;
                return;
            }
            entriesInSecond++;
            queue.addLast(line(event, fields));
            queue.notifyAll();
            droppedEntries = 0;
        }
    }

    private String line(String event, Map<String, Object> fields) {
        StringWriter text = new StringWriter();
        try (JsonGenerator generator = json.createGenerator(text)) {
            generator.writeStartObject();
            generator.writeStringField(
                    "time", Instant.ofEpochMilli(clock.epochMillis()).toString());
            generator.writeStringField("node", node);
            generator.writeStringField("event", event);
            for (Map.Entry<String, Object> field : fields.entrySet()) {
                writeField(generator, field.getKey(), field.getValue());
            }
            if (droppedEntries > 0) {
                generator.writeNumberField("linesLeftOut", droppedEntries);
            }
            generator.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("cannot write to a string", e);
        }
        return text.append('\n').toString();
    }

    private static void writeField(JsonGenerator generator, String name, Object value) throws IOException {
        if (value instanceof Long || value instanceof Integer) {
            generator.writeNumberField(name, ((Number) value).longValue());
        } else if (value instanceof Number number) {
            generator.writeNumberField(name, Math.round(number.doubleValue() * 1_000) / 1_000.0);
        } else if (value instanceof Boolean flag) {
            generator.writeBooleanField(name, flag);
        } else {
            generator.writeStringField(name, String.valueOf(value));
        }
    }

    private void writeQueued() {
        try {
            while (true) {
                synchronized (queue) {
                    while (queue.isEmpty()) {
                        queue.wait();
                    }
                }
                Thread.sleep(FLUSH_PERIOD_MILLIS);
                flush();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes all queued entries. May be called on any thread. */
    public void flush() {
        StringBuilder lines = new StringBuilder();
        synchronized (queue) {
            queue.forEach(lines::append);
            queue.clear();
        }
        if (lines.length() == 0) {
            return;
        }
        try {
            out.write(lines.toString().getBytes(StandardCharsets.UTF_8));
            out.flush();
        } catch (IOException e) {
            // The stream cannot be written, for example because its reader has exited; the node continues to serve.
            synchronized (queue) {
                droppedEntries++;
            }
        }
    }
}
