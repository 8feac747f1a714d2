package org.cactusshift.internal.coordination.usage;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;

/**
 * The body of a usage shard's durable record, stored as JSON.
 *
 * @param sealedToEpochMillis the end of the last sealed window; counts for earlier windows are added to an
 *     open one as late usage
 * @param open the open windows, which still accept counts
 * @param marks the position of each stream, which is its last batch that the record includes
 * @param sealed the sealed windows that are not yet reported
 * @param conflicted the sealed windows for which the usage interface has recorded different counts; at most 16
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

    /** The position of one stream, that is its last batch, and when the holder last received a batch of it. */
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
            throw new UncheckedIOException(
                    "stored usage record is not valid JSON; its shard accepts no usage until it is repaired", e);
        }
    }

    byte[] toBytes() {
        try {
            return MAPPER.writeValueAsBytes(this);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException("usage record can't be encoded as JSON", e);
        }
    }
}
