package org.cactusshift.internal.protocol.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Locale;
import java.util.Optional;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.internal.coordination.dispatch.EngineLoad;

/**
 * The response of an upstream to {@code GET /load}.
 *
 * @param load the load
 * @param draining whether the upstream is draining
 * @param version the loaded model version; empty when none is reported, as by a plain service
 */
public record LoadReport(EngineLoad load, boolean draining, String version) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * Parses a load report. Negative counts and rates count as 0, and so do rates that are not finite and missing
     * numbers, except the number of running requests. Counts of requests and blocks are limited to the maximum int. The
     * epoch is taken as reported. An unknown role counts as mixed.
     *
     * @param body the body of the response
     * @param nowMillis the current time, monotonic; the report's age is subtracted from it
     * @return the report, or empty when the body is no JSON object with a whole number of running requests
     */
    public static Optional<LoadReport> parse(byte[] body, long nowMillis) {
        JsonNode root;
        try {
            root = MAPPER.readTree(body);
        } catch (IOException e) {
            return Optional.empty();
        }
        if (root == null || !root.isObject() || !root.path("running").isIntegralNumber()) {
            return Optional.empty();
        }
        EngineLoad load = new EngineLoad(
                nowMillis - count(root, "age_millis"),
                (int) Math.min(count(root, "running"), Integer.MAX_VALUE),
                (int) Math.min(count(root, "waiting"), Integer.MAX_VALUE),
                count(root, "queued_prefill_tokens"),
                (int) Math.min(count(root, "used_pieces"), Integer.MAX_VALUE),
                (int) Math.min(count(root, "total_pieces"), Integer.MAX_VALUE),
                rate(root, "prefill_tokens_per_second"),
                rate(root, "decode_tokens_per_second"),
                role(root.path("role").asText("")),
                root.path("changing").asBoolean(false),
                root.path("epoch").asLong(0));
        return Optional.of(new LoadReport(
                load,
                root.path("draining").asBoolean(false),
                root.path("version").asText("")));
    }

    private static long count(JsonNode root, String field) {
        return Math.max(0, root.path(field).asLong(0));
    }

    private static double rate(JsonNode root, String field) {
        double rate = root.path(field).asDouble(0);
        return Double.isFinite(rate) ? Math.max(0, rate) : 0;
    }

    private static UpstreamConfig.Role role(String name) {
        return switch (name.toLowerCase(Locale.ROOT)) {
            case "prefill" -> UpstreamConfig.Role.PREFILL;
            case "decode" -> UpstreamConfig.Role.DECODE;
            default -> UpstreamConfig.Role.MIXED;
        };
    }
}
