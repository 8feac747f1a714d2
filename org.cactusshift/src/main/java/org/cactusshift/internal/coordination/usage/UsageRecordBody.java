package org.cactusshift.internal.coordination.usage;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;

/**
 * The durable record of a usage shard, as JSON.
 *
 * @param sealedToEpochMillis the end of the last window that was sealed; counts before it are late
 * @param open the windows that still take counts
 * @param marks the last batch of each stream that is included
 * @param sealed the sealed windows that were not yet reported
 * @param conflicted the sealed windows for which the interface has other figures
 */
record UsageRecordBody(
        long sealedToEpochMillis,
        List<Window> open,
        List<Mark> marks,
        List<SealedWindow> sealed,
        List<SealedWindow> conflicted) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** An open window. */
    record Window(long fromEpochMillis, List<Row> rows) {}

    /** The sums of one client account and service. */
    record Row(String account, String service, UsageTotals totals) {}

    /** The last batch of one stream. */
    record Mark(String stream, long sequence, long seenAtEpochMillis) {}

    static UsageRecordBody empty() {
        return new UsageRecordBody(0, List.of(), List.of(), List.of(), List.of());
    }

    static UsageRecordBody fromBytes(byte[] bytes) {
        if (bytes.length == 0) {
            return empty();
        }
        try {
            return MAPPER.readValue(bytes, UsageRecordBody.class);
        } catch (IOException e) {
            throw new UncheckedIOException("usage record can't be read", e);
        }
    }

    byte[] toBytes() {
        try {
            return MAPPER.writeValueAsBytes(this);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException("usage record can't be written", e);
        }
    }
}
