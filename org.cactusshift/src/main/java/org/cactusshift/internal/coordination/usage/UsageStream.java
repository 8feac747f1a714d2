package org.cactusshift.internal.coordination.usage;

import java.util.Optional;
import org.cactusshift.id.IncarnationId;

/**
 * Identifies a stream of consecutively numbered batches of one node and shard.
 *
 * <p>A node starts a new stream after a long idle time, because the holder drops the positions of idle streams, that
 * is their last sequence numbers. The start time lets the holder distinguish a new stream from one whose position it
 * may have dropped.
 *
 * @param incarnation the incarnation of the node
 * @param startedAtEpochMillis the wall-clock time at which the first batch was frozen
 */
public record UsageStream(IncarnationId incarnation, long startedAtEpochMillis) implements Comparable<UsageStream> {
    private static final char SEPARATOR = ':';

    /**
     * Parses a stream from its text form.
     *
     * @param text the text
     * @return the stream; empty when the text is malformed
     */
    public static Optional<UsageStream> fromString(String text) {
        int separator = text.lastIndexOf(SEPARATOR);
        if (separator < 0) {
            return Optional.empty();
        }
        try {
            return Optional.of(new UsageStream(
                    IncarnationId.fromString(text.substring(0, separator)),
                    Long.parseLong(text.substring(separator + 1))));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    @Override
    public int compareTo(UsageStream other) {
        int order = incarnation.compareTo(other.incarnation);
        return order != 0 ? order : Long.compare(startedAtEpochMillis, other.startedAtEpochMillis);
    }

    @Override
    public String toString() {
        return incarnation.value() + SEPARATOR + startedAtEpochMillis;
    }
}
