package org.cactusshift.internal.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
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
import org.cactusshift.internal.coordination.performance.PerformanceSamples;
import org.cactusshift.internal.coordination.quarantine.CompletionReport;
import org.cactusshift.internal.coordination.quarantine.CrashReport;
import org.cactusshift.internal.coordination.quarantine.CrashSuspect;
import org.cactusshift.internal.coordination.serving.GossipMessage;
import org.cactusshift.internal.coordination.serving.OpenWork;
import org.cactusshift.internal.coordination.serving.PromptPart;
import org.cactusshift.internal.coordination.serving.PromptPartUse;
import org.cactusshift.internal.coordination.serving.UsageCollector;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class GossipMessageCodecTest {
    @Test
    void messageIsDecodedAsItWasEncoded() {
        GossipMessage message = new GossipMessage(
                InstanceId.fromString("n1"),
                IncarnationId.fromString("i1"),
                1_700_000_000_000L,
                Map.of(UpstreamId.fromString("u1"), new OpenWork(3, 4_000, 9_000)),
                Map.of(IncarnationId.fromString("i1"), Map.of(7L, Map.of(AccountId.fromString("a"), 9L))),
                Optional.of(new UsageCollector(InstanceId.fromString("n2"), "127.0.0.1:1", 12)),
                List.of(new CrashReport(CrashSuspect.request(-5), UpstreamId.fromString("u2"), 300, 200)),
                List.of(new CompletionReport(CrashSuspect.request(-6), 100)),
                List.of(
                        new UpstreamLimitReport(
                                new UpstreamIncarnation(UpstreamId.fromString("u1"), 5), 1, OptionalDouble.of(4.7), 30),
                        new UpstreamLimitReport(
                                new UpstreamIncarnation(UpstreamId.fromString("u2"), 6),
                                2,
                                OptionalDouble.empty(),
                                40)),
                List.of(new PromptPartUse(UpstreamId.fromString("u1"), new PromptPart(-1, 13_000))),
                Set.of(ServiceId.fromString("s1"), ServiceId.fromString("s2")),
                List.of(new PerformanceReport(new UpstreamIncarnation(UpstreamId.fromString("u1"), 5), 3, -0.125)));
        assertEquals(
                message,
                GossipMessageCodec.decode(GossipMessageCodec.encode(message)).orElseThrow());
    }

    /** Guards against reports that take more than 320 bytes of each message. */
    @ParameterizedTest
    @ValueSource(strings = {"u", "front-engine-", "engine-with-a-long-name-in-a-large-domain-"})
    void performanceOfUpstreamsTakesAFewBytes(String idPrefix) {
        PerformanceSamples samples = PerformanceSamples.create(250);
        for (int i = 0; i < 4_000; i++) {
            UpstreamId id = UpstreamId.fromString(idPrefix + i % 40);
            samples.add(new UpstreamIncarnation(id, 1_700_000_000_000L), 0.1);
        }
        List<PerformanceReport> reports = samples.nextReports(1);
        int bytes = GossipMessageCodec.encode(messageWith(reports)).length
                - GossipMessageCodec.encode(messageWith(List.of())).length
                + "\"performance\":[],".length();
        assertTrue(bytes <= 320, reports.size() + " reports take " + bytes + " bytes");
    }

    private static GossipMessage messageWith(List<PerformanceReport> performance) {
        return new GossipMessage(
                InstanceId.fromString("n1"),
                IncarnationId.fromString("i1"),
                1,
                Map.of(),
                Map.of(),
                Optional.empty(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                Set.of(),
                performance);
    }

    /** Guards against a message of a former release, without the field, that is rejected. */
    @Test
    void messageWithoutPerformanceHasNone() {
        byte[] bytes = "{\"node\":\"n1\",\"incarnation\":\"i\"}".getBytes(StandardCharsets.UTF_8);
        assertEquals(List.of(), GossipMessageCodec.decode(bytes).orElseThrow().performance());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "{",
                "[]",
                "{}",
                "{\"node\":\"n 1\",\"incarnation\":\"i\"}",
                "{\"node\":\"n1\",\"incarnation\":\"i\",\"usage\":{\"i\":{\"x\":{}}}}",
                "{\"node\":\"n1\",\"incarnation\":\"i\",\"work\":{\"\":[1,2]}}",
            })
    void malformedBytesAreRejected(String text) {
        assertTrue(
                GossipMessageCodec.decode(text.getBytes(StandardCharsets.UTF_8)).isEmpty());
    }
}
