package org.cactusshift.internal.coordination.usage;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import org.cactusshift.id.SiteId;

/**
 * The report of one window in the format of the usage interface.
 *
 * @param window the window's name
 * @param shard the usage shard
 * @param fromEpochMillis the start of the window
 * @param toEpochMillis the end of the window
 * @param counts the sums
 */
record UsageReport(String window, int shard, long fromEpochMillis, long toEpochMillis, List<Count> counts) {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().setPropertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE);

    /** The sums of one client account and service. */
    record Count(
            String account,
            String service,
            long promptTokens,
            long completionTokens,
            long requests,
            long latePromptTokens,
            long lateCompletionTokens) {}

    /** Returns the sealed window with the report of the given rows. */
    static SealedWindow seal(
            SiteId site, int shard, long fromEpochMillis, long toEpochMillis, SortedMap<UsageKey, UsageTotals> rows) {
        List<Count> counts = new ArrayList<>();
        rows.forEach((key, totals) -> counts.add(new Count(
                key.account().value(),
                key.service().value(),
                totals.promptTokens(),
                totals.completionTokens(),
                totals.requests(),
                totals.latePromptTokens(),
                totals.lateCompletionTokens())));
        String window = site.value() + "." + shard + "." + fromEpochMillis;
        UsageReport report = new UsageReport(window, shard, fromEpochMillis, toEpochMillis, counts);
        try {
            return new SealedWindow(window, MAPPER.writeValueAsString(report));
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException("usage report can't be encoded as JSON", e);
        }
    }
}
