package org.cactusshift.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in for the service that accepts usage reports.
 *
 * <p>Stores the first report of each usage window and shard, and rejects and records every later report that differs
 * from it.
 */
public final class StandInUsageService implements HttpStandIn, StandInHandler {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static final int PATH_SEGMENTS = 3;

    private final StandInServer server;

    private final Map<String, ReceivedUsageReport> reportsByWindowAndShard = new LinkedHashMap<>();

    private final List<String> conflictingReports = new ArrayList<>();

    private StandInUsageService(int port) {
        this.server = StandInServer.create(port, this);
    }

    /**
     * Creates the service, which listens once it is started.
     *
     * @param port the port; 0 lets the operating system choose
     * @return the stand-in
     */
    public static StandInUsageService create(int port) {
        return new StandInUsageService(port);
    }

    @Override
    public StandInServer server() {
        return server;
    }

    /**
     * Returns the first report of each usage window and shard.
     *
     * @return the reports in the order of receipt
     */
    public synchronized List<ReceivedUsageReport> reports() {
        return List.copyOf(reportsByWindowAndShard.values());
    }

    /**
     * Returns the reports that differ from the first report of the same window and shard.
     *
     * @return {@code WINDOW/SHARD} of each such report; empty when there was none
     */
    public synchronized List<String> conflictingReports() {
        return List.copyOf(conflictingReports);
    }

    /**
     * Returns the reported usage of each client account.
     *
     * @return the totals by client account
     */
    public synchronized Map<String, UsageTotals> totalsByAccount() {
        Map<String, UsageTotals> totals = new TreeMap<>();
        for (ReceivedUsageReport report : reportsByWindowAndShard.values()) {
            for (JsonNode count : parse(report.body()).path("counts")) {
                totals.merge(count.path("account").asText(), totalsOf(count), UsageTotals::plus);
            }
        }
        return totals;
    }

    @Override
    public StandInResponse handle(StandInRequest request) {
        String[] segments = request.pathSegments();
        if (!request.path().startsWith("/v1/usage-windows/") || segments.length != PATH_SEGMENTS) {
            return StandInResponse.error(StandInResponse.NOT_FOUND, "not_found");
        }
        JsonNode body = parse(request.body());
        if (!body.path("counts").isArray()) {
            return StandInResponse.error(StandInResponse.BAD_REQUEST, "invalid_request");
        }
        return recordReport(segments[2], body.path("shard").asText(""), request.body());
    }

    private synchronized StandInResponse recordReport(String window, String shard, String body) {
        String key = window + "/" + shard;
        ReceivedUsageReport first = reportsByWindowAndShard.get(key);
        if (first != null && !first.body().equals(body)) {
            conflictingReports.add(key);
            return StandInResponse.error(StandInResponse.CONFLICT, "other_figures");
        }
        int reportCount = first == null ? 1 : first.reportCount() + 1;
        reportsByWindowAndShard.put(key, new ReceivedUsageReport(window, shard, body, reportCount));
        return StandInResponse.json(StandInResponse.OK, JsonNodeFactory.instance.objectNode());
    }

    private static UsageTotals totalsOf(JsonNode count) {
        long latePrompt = count.path("late_prompt_tokens").asLong(0);
        long lateCompletion = count.path("late_completion_tokens").asLong(0);
        return new UsageTotals(
                count.path("prompt_tokens").asLong(0) + latePrompt,
                count.path("completion_tokens").asLong(0) + lateCompletion,
                count.path("requests").asLong(0),
                latePrompt + lateCompletion);
    }

    private static JsonNode parse(String body) {
        try {
            return MAPPER.readTree(body);
        } catch (JsonProcessingException e) {
            return MAPPER.missingNode();
        }
    }
}
