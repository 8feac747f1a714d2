package org.cactusshift.internal.coordination.serving;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.RequestId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.SoftwareVersion;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.limits.UpstreamRequestLimits;
import org.cactusshift.internal.coordination.performance.PerformanceSamples;

/** Upstreams, routes and requests for the tests of this package. */
final class ServingFixture {
    static final ServiceId MODEL = ServiceId.fromString("model");
    static final ServiceId PLAIN = ServiceId.fromString("plain");
    static final FailureDomainId LOCAL_DOMAIN = FailureDomainId.fromString("here");
    static final FailureDomainId OTHER_DOMAIN = FailureDomainId.fromString("there");
    static final long KV_CAPACITY_TOKENS = 400_000;

    /** Retains for 1 s the upstreams whose entries disappeared while the store was unavailable. */
    final UpstreamDirectory directory = UpstreamDirectory.create(service -> KV_CAPACITY_TOKENS, 1_000);

    final PerformanceSamples samples = PerformanceSamples.create(250);
    final ResponseTimeRecorder responseTimes = ResponseTimeRecorder.create(samples);
    final LatencyEstimator latency = responseTimes.latency();
    final UpstreamRequestLimits limits =
            UpstreamRequestLimits.create(InstanceId.fromString("self"), id -> Optional.empty());
    final SplittableRandom random;
    final Placer placer;
    private final int plainSlots;

    ServingFixture() {
        this(7, 6);
    }

    ServingFixture(long seed, int plainSlots) {
        this.random = new SplittableRandom(seed);
        this.placer = Placer.create(directory, limits, ServingFixture::service, latency, random);
        this.plainSlots = plainSlots;
    }

    static Optional<ServedService> service(ServiceId id) {
        // Arbitrary values: placement only checks whether a service has engine capabilities.
        Optional<EngineCapabilities> engine = id.equals(MODEL)
                ? Optional.of(new EngineCapabilities(64, KV_CAPACITY_TOKENS, 18_432, 370_000, 5_000, 3_000, true))
                : Optional.empty();
        return Optional.of(new ServedService(id, "/healthz", 100, engine, Optional.empty()));
    }

    static UpstreamEntry entry(String id, ServiceId service, FailureDomainId domain, EngineStage stage) {
        return entry(id, service, domain, stage, 6);
    }

    private static UpstreamEntry entry(
            String id, ServiceId service, FailureDomainId domain, EngineStage stage, int plainSlots) {
        // 64 slots at an engine, neither leaving nor reclaimable, started at 1 ms, no known time of termination.
        return new UpstreamEntry(
                UpstreamId.fromString(id),
                service,
                "127.0.0.1:1",
                domain,
                service.equals(MODEL) ? 64 : plainSlots,
                false,
                stage,
                false,
                SoftwareVersion.UNSTATED,
                1,
                OptionalLong.empty());
    }

    Upstream add(String id, ServiceId service, FailureDomainId domain, EngineStage stage) {
        return directory.put(entry(id, service, domain, stage, plainSlots)).orElseThrow();
    }

    Upstream upstream(String id) {
        return directory.find(UpstreamId.fromString(id)).orElseThrow();
    }

    static ServedRoute route(RequestKind kind, ServiceId service, long targetMillis, long timeoutMillis) {
        // After the target latency: an event gap of 300 ms, priority 0, two attempts, and an API key is needed.
        return new ServedRoute(
                "r",
                "host.example",
                "/a/",
                kind,
                List.of(new WeightedService(service, 1)),
                timeoutMillis,
                targetMillis,
                300,
                0,
                2,
                false,
                kind == RequestKind.STREAM);
    }

    static ServingRequest request(String id, ServedRoute route, List<PromptPart> prompt) {
        // After the prompt: no expected output, a body of 1,000 bytes, arrival at 0.
        return new ServingRequest(
                RequestId.fromString(id),
                AccountId.fromString("account"),
                route,
                route.selectService(0).orElseThrow(),
                route.priority(),
                prompt,
                0,
                1_000,
                0,
                route.timeoutMillis(),
                id.hashCode());
    }

    /**
     * Returns a prompt of two parts. Prompts with the same {@code sharedId} share the first; those that also have the
     * same {@code ownTokens} share both.
     */
    static List<PromptPart> prompt(long sharedId, int sharedTokens, int ownTokens) {
        List<PromptPart> parts = new ArrayList<>();
        parts.add(new PromptPart(sharedId, sharedTokens));
        parts.add(new PromptPart(1_000_000 + sharedId * 31 + ownTokens, ownTokens));
        return parts;
    }

    Optional<Placement> place(ServingRequest request, long nowMillis) {
        return place(request, Set.of(), nowMillis);
    }

    Optional<Placement> place(ServingRequest request, Set<UpstreamId> excluded, long nowMillis) {
        // Prefill and decode may run on different engines.
        return placer.place(new PlacementQuery(request, LOCAL_DOMAIN, excluded, version -> true, true), nowMillis);
    }
}
