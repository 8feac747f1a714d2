package org.cactusshift.internal.coordination.claim;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The log of a claim shard as stored: a head, which contains the newest entries and lists the full segments, and the
 * segments themselves.
 *
 * <p>Only the head is ever replaced, by compare-and-swap, so that its fencing number protects the whole log. A full
 * head is first written as a segment, under a key that is written only once, and is then emptied.
 *
 * <p>Immutable.
 *
 * @param segments the full segments, oldest first
 * @param nextSegment the number of the next segment
 * @param lines the entries in the head, oldest first, each as one line of JSON
 */
record ClaimLog(List<Segment> segments, long nextSegment, List<String> lines) {
    /**
     * The size of the entries in the head, in characters without line ends, from which on the next append first writes
     * them as a segment.
     */
    static final int SEGMENT_BYTES = 64 * 1024;
    /**
     * The number of segments from which on writes that contain new claims are refused, until old segments expire.
     */
    static final int MAXIMUM_SEGMENTS = 256;

    private static final ObjectMapper MAPPER =
            new ObjectMapper().setPropertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE);
    private static final String LINE_END = "\n";

    /** Makes defensive copies. */
    ClaimLog {
        segments = List.copyOf(segments);
        lines = List.copyOf(lines);
    }

    /**
     * A full segment.
     *
     * @param name the last component of its key in the store
     * @param fullAtEpochMillis when it was written, in wall-clock time; all its claims are older, so that it
     *     expires with this time
     */
    record Segment(String name, long fullAtEpochMillis) {}

    private record Header(List<Segment> segments, long nextSegment) {}

    static ClaimLog fromBytes(byte[] body) {
        if (body.length == 0) {
            return new ClaimLog(List.of(), 1, List.of());
        }
        List<String> allLines = readLines(body);
        try {
            Header header = MAPPER.readValue(allLines.get(0), Header.class);
            return new ClaimLog(header.segments(), header.nextSegment(), allLines.subList(1, allLines.size()));
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException("header of the claim log can't be parsed; the shard is not loaded", e);
        }
    }

    static List<String> readLines(byte[] bytes) {
        return Arrays.asList(new String(bytes, StandardCharsets.UTF_8).split(LINE_END));
    }

    byte[] toBytes() {
        try {
            List<String> allLines = new ArrayList<>();
            allLines.add(MAPPER.writeValueAsString(new Header(segments, nextSegment)));
            allLines.addAll(lines);
            return join(allLines);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException("claim log can't be serialized", e);
        }
    }

    byte[] segmentBytes() {
        return join(lines);
    }

    boolean isHeadFull() {
        return lines.stream().mapToInt(String::length).sum() >= SEGMENT_BYTES;
    }

    boolean isBelowSegmentLimit() {
        return segments.size() < MAXIMUM_SEGMENTS;
    }

    ClaimLog append(List<ClaimLogEntry> entries) {
        List<String> appended = new ArrayList<>(lines);
        entries.forEach(entry -> appended.add(entry.toLine()));
        return new ClaimLog(segments, nextSegment, appended);
    }

    /** Returns the log with an empty head, after the entries of the head were written as the named segment. */
    ClaimLog withHeadAsSegment(String name, long nowEpochMillis) {
        List<Segment> extended = new ArrayList<>(segments);
        extended.add(new Segment(name, nowEpochMillis));
        return new ClaimLog(extended, nextSegment + 1, List.of());
    }

    /** Returns the log without expired segments. */
    ClaimLog without(List<Segment> expired) {
        List<Segment> remaining = new ArrayList<>(segments);
        remaining.removeAll(expired);
        return new ClaimLog(remaining, nextSegment, lines);
    }

    List<Segment> segmentsFullBefore(long epochMillis) {
        return segments.stream()
                .filter(segment -> segment.fullAtEpochMillis() < epochMillis)
                .toList();
    }

    private static byte[] join(List<String> all) {
        return String.join(LINE_END, all).getBytes(StandardCharsets.UTF_8);
    }
}
