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
 * The log of a claim shard as it is in the store: a head value and the full segments that it names.
 *
 * <p>Only the head is ever replaced, by compare-and-swap, so that the fencing number in it guards the whole log. A full
 * head becomes a segment first, under a key that is written once, and is then emptied.
 *
 * <p>Immutable.
 *
 * @param segments the full segments, oldest first
 * @param nextSegment the number of the next segment
 * @param lines the lines of the head
 */
record ClaimLog(List<Segment> segments, long nextSegment, List<String> lines) {
    /** The size at which the head becomes a segment. */
    static final int SEGMENT_BYTES = 64 * 1024;
    /** The most segments of a shard; beyond them claims are refused until old ones expire. */
    static final int MAXIMUM_SEGMENTS = 256;

    private static final ObjectMapper MAPPER =
            new ObjectMapper().setPropertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE);
    private static final String LINE_END = "\n";

    /** Copies the lists. */
    ClaimLog {
        segments = List.copyOf(segments);
        lines = List.copyOf(lines);
    }

    /**
     * A full segment.
     *
     * @param name the last part of its key
     * @param fullAtEpochMillis when it was full; no claim in it is younger
     */
    record Segment(String name, long fullAtEpochMillis) {}

    private record Header(List<Segment> segments, long nextSegment) {}

    static ClaimLog fromBytes(byte[] body) {
        if (body.length == 0) {
            return new ClaimLog(List.of(), 1, List.of());
        }
        List<String> all = readLines(body);
        try {
            Header header = MAPPER.readValue(all.get(0), Header.class);
            return new ClaimLog(header.segments(), header.nextSegment(), all.subList(1, all.size()));
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException("claim log can't be read", e);
        }
    }

    static List<String> readLines(byte[] bytes) {
        return Arrays.asList(new String(bytes, StandardCharsets.UTF_8).split(LINE_END));
    }

    byte[] toBytes() {
        try {
            List<String> all = new ArrayList<>();
            all.add(MAPPER.writeValueAsString(new Header(segments, nextSegment)));
            all.addAll(lines);
            return join(all);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException("claim log can't be written", e);
        }
    }

    byte[] segmentBytes() {
        return join(lines);
    }

    boolean isHeadFull() {
        return lines.stream().mapToInt(String::length).sum() >= SEGMENT_BYTES;
    }

    boolean hasRoom() {
        return segments.size() < MAXIMUM_SEGMENTS;
    }

    ClaimLog append(List<ClaimLogEntry> entries) {
        List<String> longer = new ArrayList<>(lines);
        entries.forEach(entry -> longer.add(entry.toLine()));
        return new ClaimLog(segments, nextSegment, longer);
    }

    /** Returns the log whose head was written as a segment. */
    ClaimLog roll(String name, long nowEpochMillis) {
        List<Segment> more = new ArrayList<>(segments);
        more.add(new Segment(name, nowEpochMillis));
        return new ClaimLog(more, nextSegment + 1, List.of());
    }

    /** Returns the log without the segments all of whose claims were made before a time. */
    ClaimLog without(List<Segment> expired) {
        List<Segment> fewer = new ArrayList<>(segments);
        fewer.removeAll(expired);
        return new ClaimLog(fewer, nextSegment, lines);
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
