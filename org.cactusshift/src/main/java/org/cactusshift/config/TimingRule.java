package org.cactusshift.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.DateTimeException;
import java.time.LocalDate;

/** Checks the shutdown date and the relations between periods and timeouts. */
final class TimingRule implements ConfigRule {
    private static final String TIMING = "timing";
    /** The least length of suspicionMillis, leaseTtlMillis and keyFreshnessMillis, in heartbeat periods. */
    private static final int MINIMUM_HEARTBEATS_PER_TIMEOUT = 2;

    @Override
    public void check(JsonNode document, ProblemCollector problems) {
        checkDate(document.path("shutdownDate"), problems);
        JsonNode timing = document.path(TIMING);
        checkAtLeast(timing, "suspicionMillis", MINIMUM_HEARTBEATS_PER_TIMEOUT, "heartbeatMillis", problems);
        checkAtLeast(timing, "leaseTtlMillis", MINIMUM_HEARTBEATS_PER_TIMEOUT, "heartbeatMillis", problems);
        checkAtLeast(timing, "keyFreshnessMillis", MINIMUM_HEARTBEATS_PER_TIMEOUT, "heartbeatMillis", problems);
        checkAtLeast(timing, "usageWindowMillis", 1, "usageHandOverMillis", problems);
        checkAtLeast(timing, "requestTimeoutMillis", 1, "connectTimeoutMillis", problems);
        checkAtLeast(timing, "shutdownTimeoutMillis", 1, "drainTimeoutMillis", problems);
    }

    private static void checkDate(JsonNode date, ProblemCollector problems) {
        if (!date.isTextual()) {
            return;
        }
        try {
            LocalDate.parse(date.textValue());
        } catch (DateTimeException e) {
            problems.add("is not a valid date of the form YYYY-MM-DD", "shutdownDate");
        }
    }

    private static void checkAtLeast(
            JsonNode timing, String longer, int factor, String shorter, ProblemCollector problems) {
        JsonNode longerMillis = timing.path(longer);
        JsonNode shorterMillis = timing.path(shorter);
        if (!longerMillis.canConvertToLong() || !shorterMillis.canConvertToLong()) {
            return;
        }
        // A double, as the product may overflow a long.
        double minimumMillis = (double) factor * shorterMillis.longValue();
        if (longerMillis.longValue() < minimumMillis) {
            String times = factor == 1 ? "" : factor + " times ";
            problems.add("must be at least " + times + shorter + " (" + shorterMillis + " ms)", TIMING, longer);
        }
    }
}
