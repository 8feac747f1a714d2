package org.cactusshift.internal.coordination.usage;

import java.util.Optional;
import org.cactusshift.id.IncarnationId;

/**
 * Identifies a run of numbered batches of one node and shard.
 *
 * <p>A node begins a new run after a long silence, because the holder forgets the last number of silent runs. The start
 * time lets the holder tell a new run from one that it may have forgotten.
 *
 * @param incarnation the start of the node
 * @param startedAtEpochMillis when the first batch was frozen
 */
public record UsageStream(IncarnationId incarnation, long startedAtEpochMillis) implements Comparable<UsageStream> {
    private static final char SEPARATOR = ':';

    /**
     * Reads a stream from its text.
     *
     * @param text the text
     * @return the stream, empty when the text has another form
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
