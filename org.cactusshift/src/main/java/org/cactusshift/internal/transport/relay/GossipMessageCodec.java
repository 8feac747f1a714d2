package org.cactusshift.internal.transport.relay;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.limits.UpstreamIncarnation;
import org.cactusshift.internal.coordination.limits.UpstreamLimitReport;
import org.cactusshift.internal.coordination.performance.PerformanceReport;
import org.cactusshift.internal.coordination.quarantine.CompletionReport;
import org.cactusshift.internal.coordination.quarantine.CrashReport;
import org.cactusshift.internal.coordination.quarantine.CrashSuspect;
import org.cactusshift.internal.coordination.serving.GossipMessage;
import org.cactusshift.internal.coordination.serving.OpenWork;
import org.cactusshift.internal.coordination.serving.PromptPart;
import org.cactusshift.internal.coordination.serving.PromptPartUse;
import org.cactusshift.internal.coordination.serving.UsageCollector;

/**
 * Encodes and decodes gossip messages as JSON. The work at an upstream is an array of the requests, the pending prefill
 * tokens and the held tokens, the use of a prompt part an array of the upstream, the id of the part and its tokens, a
 * crash an array of the suspect, the upstream and the ages, a completed attempt an array of the suspect and the age, a
 * request limit an array of the upstream, its start, the revision, the limit or null, and the age, the performance of
 * an upstream an array of the upstream, its start, the number of samples and the sum of their logarithms.
 */
final class GossipMessageCodec {
    private static final JsonFactory JSON = new JsonFactory();
    private static final ObjectMapper MAPPER = new ObjectMapper(JSON);

    /** Sums of logarithms are sent with three decimals, a tenth of a percent of the time. */
    private static final double LOGARITHM_SCALE = 1_000;

    private GossipMessageCodec() {}

    static byte[] encode(GossipMessage message) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator json = JSON.createGenerator(out)) {
            json.writeStartObject();
            json.writeStringField("node", message.node().value());
            json.writeStringField("incarnation", message.incarnation().value());
            json.writeNumberField("unixMillis", message.epochMillis());
            json.writeObjectFieldStart("work");
            for (Map.Entry<UpstreamId, OpenWork> entry :
                    message.workByUpstream().entrySet()) {
                json.writeArrayFieldStart(entry.getKey().value());
                json.writeNumber(entry.getValue().requests());
                json.writeNumber(entry.getValue().pendingPrefillTokens());
                json.writeNumber(entry.getValue().heldTokens());
                json.writeEndArray();
            }
            json.writeEndObject();
            json.writeObjectFieldStart("usage");
            for (Map.Entry<IncarnationId, Map<Long, Map<AccountId, Long>>> node :
                    message.usage().entrySet()) {
                json.writeObjectFieldStart(node.getKey().value());
                writeWindows(json, node.getValue());
                json.writeEndObject();
            }
            json.writeEndObject();
            if (message.collector().isPresent()) {
                UsageCollector collector = message.collector().get();
                json.writeObjectFieldStart("collector");
                json.writeStringField("node", collector.node().value());
                json.writeStringField("peerAddress", collector.peerAddress());
                json.writeNumberField("fencingNumber", collector.fencingNumber());
                json.writeEndObject();
            }
            json.writeArrayFieldStart("crashes");
            for (CrashReport crash : message.crashes()) {
                json.writeStartArray();
                writeSuspect(json, crash.suspect());
                json.writeString(crash.upstream().value());
                json.writeNumber(crash.sentAgeMillis());
                json.writeNumber(crash.lostAgeMillis());
                json.writeEndArray();
            }
            json.writeEndArray();
            json.writeArrayFieldStart("completions");
            for (CompletionReport completion : message.completions()) {
                json.writeStartArray();
                writeSuspect(json, completion.suspect());
                json.writeNumber(completion.sentAgeMillis());
                json.writeEndArray();
            }
            json.writeEndArray();
            json.writeArrayFieldStart("limits");
            for (UpstreamLimitReport limit : message.limits()) {
                writeLimit(json, limit);
            }
            json.writeEndArray();
            json.writeArrayFieldStart("uses");
            for (PromptPartUse use : message.promptPartUses()) {
                json.writeStartArray();
                json.writeString(use.upstream().value());
                json.writeNumber(use.part().id());
                json.writeNumber(use.part().tokens());
                json.writeEndArray();
            }
            json.writeEndArray();
            json.writeArrayFieldStart("unreachable");
            for (ServiceId service : message.unreachableServices()) {
                json.writeString(service.value());
            }
            json.writeEndArray();
            writePerformance(json, message.performance());
            json.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("cannot write to a byte array", e);
        }
        return out.toByteArray();
    }

    private static void writePerformance(JsonGenerator json, List<PerformanceReport> reports) throws IOException {
        json.writeArrayFieldStart("performance");
        for (PerformanceReport report : reports) {
            json.writeStartArray();
            json.writeString(report.upstream().upstream().value());
            json.writeNumber(report.upstream().startedAtEpochMillis());
            json.writeNumber(report.samples());
            json.writeNumber(Math.round(report.sumOfLogarithms() * LOGARITHM_SCALE) / LOGARITHM_SCALE);
            json.writeEndArray();
        }
        json.writeEndArray();
    }

    private static List<PerformanceReport> readPerformance(JsonNode performance) {
        List<PerformanceReport> reports = new ArrayList<>();
        for (JsonNode report : performance) {
            reports.add(new PerformanceReport(
                    new UpstreamIncarnation(
                            UpstreamId.fromString(report.path(0).asText()),
                            report.path(1).asLong()),
                    report.path(2).asInt(),
                    report.path(3).asDouble()));
        }
        return reports;
    }

    private static void writeLimit(JsonGenerator json, UpstreamLimitReport limit) throws IOException {
        json.writeStartArray();
        json.writeString(limit.upstream().upstream().value());
        json.writeNumber(limit.upstream().startedAtEpochMillis());
        json.writeNumber(limit.revision());
        if (limit.requestsPerSecond().isPresent()) {
            json.writeNumber(limit.requestsPerSecond().getAsDouble());
        } else {
            json.writeNull();
        }
        json.writeNumber(limit.ageMillis());
        json.writeEndArray();
    }

    private static void writeSuspect(JsonGenerator json, CrashSuspect suspect) throws IOException {
        json.writeString(suspect.kind().name());
        json.writeNumber(suspect.value());
    }

    /** Reads the suspect at the head of an array; returns empty when this version does not know its kind. */
    private static Optional<CrashSuspect> readSuspect(JsonNode array) {
        for (CrashSuspect.Kind kind : CrashSuspect.Kind.values()) {
            if (kind.name().equals(array.path(0).asText())) {
                return Optional.of(new CrashSuspect(kind, array.path(1).asLong()));
            }
        }
        return Optional.empty();
    }

    private static void writeWindows(JsonGenerator json, Map<Long, Map<AccountId, Long>> windows) throws IOException {
        for (Map.Entry<Long, Map<AccountId, Long>> window : windows.entrySet()) {
            json.writeObjectFieldStart(Long.toString(window.getKey()));
            for (Map.Entry<AccountId, Long> count : window.getValue().entrySet()) {
                json.writeNumberField(count.getKey().value(), count.getValue());
            }
            json.writeEndObject();
        }
    }

    private static Map<Long, Map<AccountId, Long>> readWindows(JsonNode node) {
        Map<Long, Map<AccountId, Long>> windows = new HashMap<>();
        node.fields().forEachRemaining(window -> {
            Map<AccountId, Long> counts = new HashMap<>();
            window.getValue()
                    .fields()
                    .forEachRemaining(count -> counts.put(
                            AccountId.fromString(count.getKey()),
                            count.getValue().asLong()));
            windows.put(Long.parseLong(window.getKey()), counts);
        });
        return windows;
    }

    private static Optional<UsageCollector> readCollector(JsonNode node) {
        if (!node.isObject()) {
            return Optional.empty();
        }
        return Optional.of(new UsageCollector(
                InstanceId.fromString(node.path("node").asText()),
                node.path("peerAddress").asText(),
                node.path("fencingNumber").asLong()));
    }

    private static List<CrashReport> readCrashes(JsonNode crashes) {
        List<CrashReport> reports = new ArrayList<>();
        for (JsonNode crash : crashes) {
            readSuspect(crash)
                    .ifPresent(suspect -> reports.add(new CrashReport(
                            suspect,
                            UpstreamId.fromString(crash.path(2).asText()),
                            crash.path(3).asLong(),
                            crash.path(4).asLong())));
        }
        return reports;
    }

    private static List<CompletionReport> readCompletions(JsonNode completions) {
        List<CompletionReport> reports = new ArrayList<>();
        for (JsonNode completion : completions) {
            readSuspect(completion)
                    .ifPresent(suspect -> reports.add(
                            new CompletionReport(suspect, completion.path(2).asLong())));
        }
        return reports;
    }

    private static List<UpstreamLimitReport> readLimits(JsonNode limits) {
        List<UpstreamLimitReport> reports = new ArrayList<>();
        for (JsonNode limit : limits) {
            reports.add(new UpstreamLimitReport(
                    new UpstreamIncarnation(
                            UpstreamId.fromString(limit.path(0).asText()),
                            limit.path(1).asLong()),
                    limit.path(2).asLong(),
                    limit.path(3).isNumber() ? OptionalDouble.of(limit.path(3).asDouble()) : OptionalDouble.empty(),
                    limit.path(4).asLong()));
        }
        return reports;
    }

    /** Decodes a gossip message; returns empty when the bytes are malformed. */
    static Optional<GossipMessage> decode(byte[] bytes) {
        try {
            JsonNode root = MAPPER.readTree(bytes);
            Map<UpstreamId, OpenWork> work = new HashMap<>();
            for (Map.Entry<String, JsonNode> entry : fields(root, "work")) {
                work.put(
                        UpstreamId.fromString(entry.getKey()),
                        new OpenWork(
                                entry.getValue().path(0).asInt(),
                                entry.getValue().path(1).asLong(),
                                entry.getValue().path(2).asLong()));
            }
            Map<IncarnationId, Map<Long, Map<AccountId, Long>>> usage = new HashMap<>();
            for (Map.Entry<String, JsonNode> node : fields(root, "usage")) {
                usage.put(IncarnationId.fromString(node.getKey()), readWindows(node.getValue()));
            }
            List<PromptPartUse> uses = new ArrayList<>();
            for (JsonNode use : root.path("uses")) {
                uses.add(new PromptPartUse(
                        UpstreamId.fromString(use.path(0).asText()),
                        new PromptPart(use.path(1).asLong(), use.path(2).asInt())));
            }
            Set<ServiceId> unreachable = new HashSet<>();
            root.path("unreachable").forEach(service -> unreachable.add(ServiceId.fromString(service.asText())));
            return Optional.of(new GossipMessage(
                    InstanceId.fromString(root.path("node").asText()),
                    IncarnationId.fromString(root.path("incarnation").asText()),
                    root.path("unixMillis").asLong(),
                    work,
                    usage,
                    readCollector(root.path("collector")),
                    readCrashes(root.path("crashes")),
                    readCompletions(root.path("completions")),
                    readLimits(root.path("limits")),
                    uses,
                    unreachable,
                    readPerformance(root.path("performance"))));
        } catch (IOException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static Iterable<Map.Entry<String, JsonNode>> fields(JsonNode root, String name) {
        Iterator<Map.Entry<String, JsonNode>> fields = root.path(name).fields();
        return () -> fields;
    }
}
