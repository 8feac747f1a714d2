package org.cactusshift.systemtest;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.opentelemetry.api.OpenTelemetry;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Clock;
import java.time.LocalDate;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.cactusshift.config.AccountConfig;
import org.cactusshift.config.LimitsConfig;
import org.cactusshift.config.ServiceConfig;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.config.TimingConfig;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.KeyId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.SiteId;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.claim.CallClaim;
import org.cactusshift.internal.coordination.claim.CallOutcome;
import org.cactusshift.internal.coordination.claim.ClaimRegistry;
import org.cactusshift.internal.coordination.claim.ClaimResult;
import org.cactusshift.internal.coordination.configsync.ConfigSource;
import org.cactusshift.internal.coordination.configsync.VersionedConfig;
import org.cactusshift.internal.coordination.dispatch.DispatchService;
import org.cactusshift.internal.coordination.dispatch.DispatcherOptions;
import org.cactusshift.internal.coordination.dispatch.ServiceDispatcher;
import org.cactusshift.internal.coordination.key.KeyVerdict;
import org.cactusshift.internal.coordination.key.KeyVerifier;
import org.cactusshift.internal.coordination.usage.UsageRecord;
import org.cactusshift.internal.transport.gateway.Gateway;
import org.cactusshift.internal.transport.gateway.GatewayDependencies;
import org.cactusshift.internal.transport.gateway.GatewayMetrics;
import org.cactusshift.internal.transport.gateway.UpstreamLoadPoller;
import org.cactusshift.internal.transport.http.HttpClientPool;
import org.cactusshift.internal.transport.http.HttpClientSettings;
import org.cactusshift.internal.transport.http.HttpListener;
import org.cactusshift.internal.transport.http.ListenerSettings;
import org.cactusshift.standin.engine.EngineSettings;
import org.cactusshift.standin.engine.EngineTiming;
import org.cactusshift.standin.engine.ExpectedAnswer;
import org.cactusshift.standin.engine.StandInEngine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the gateway and the real dispatcher in front of stand-in engines, some of which crash. */
class GatewayWithEnginesTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final ServiceId MODEL = ServiceId.fromString("share-lm");
    private static final AccountId ACCOUNT = AccountId.fromString("crew");
    /** 5 ms for each token; orders take 50 ms, and a crashed engine restarts after 300 ms. */
    private static final EngineTiming TIMING =
            EngineTiming.fast().withRates(1_000_000, 5).withOrderAndRestartTimes(50, 300);

    private static final int ENGINE_COUNT = 3;
    private static final int REQUEST_COUNT = 12;
    private static final int COMPLETION_TOKENS = 60;
    private static final long RESPONSE_TIMEOUT_MILLIS = 30_000;

    private final LongSupplier monotonicMillis = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    private final List<UsageRecord> usageRecords = Collections.synchronizedList(new ArrayList<>());
    private final List<StandInEngine> engines = new ArrayList<>();
    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(2);
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private DispatchService dispatch;
    private HttpClientPool pool;
    private UpstreamLoadPoller poller;
    private HttpListener listener;

    @BeforeEach
    void start() throws IOException {
        List<UpstreamConfig> upstreams = new ArrayList<>();
        for (int i = 0; i < ENGINE_COUNT; i++) {
            StandInEngine engine = StandInEngine.create(EngineSettings.mixed("engine-" + i, "share-lm", TIMING));
            engine.start();
            engines.add(engine);
            upstreams.add(new UpstreamConfig(
                    UpstreamId.fromString("engine-" + i),
                    MODEL,
                    FailureDomainId.fromString("ostend-a"),
                    engine.address(),
                    UpstreamConfig.Role.MIXED,
                    false,
                    false,
                    false,
                    1,
                    64));
        }
        VersionedConfig config = new VersionedConfig(1, site(upstreams));
        ConfigSource source = new FixedConfig(config);
        dispatch = DispatchService.create(
                (service, site) -> ServiceDispatcher.create(
                        DispatcherOptions.create(IncarnationId.fromString("i1"), service.kind(), site.limits()),
                        new Random(1)),
                monotonicMillis,
                scheduler);
        dispatch.install(config);
        pool = HttpClientPool.create(() -> HttpClientSettings.of(config.config().timing()), monotonicMillis, scheduler);
        poller = UpstreamLoadPoller.start(source, dispatch, pool, monotonicMillis, scheduler);
        Gateway gateway = Gateway.create(new GatewayDependencies(
                source,
                new AcceptingKeyVerifier(),
                dispatch,
                new UnavailableClaimRegistry(),
                (record, epochMillis) -> usageRecords.add(record),
                pool,
                OpenTelemetry.noop().getTracer("test"),
                GatewayMetrics.create(new PrometheusRegistry()),
                monotonicMillis,
                Clock.systemUTC(),
                () -> true));
        listener = HttpListener.open(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                () -> ListenerSettings.of(
                        config.config().limits(), config.config().timing()),
                gateway);
    }

    @AfterEach
    void stop() {
        listener.close();
        poller.close();
        pool.close();
        dispatch.close();
        engines.forEach(StandInEngine::close);
        scheduler.shutdownNow();
    }

    private static SiteConfig site(List<UpstreamConfig> upstreams) {
        return new SiteConfig(
                1,
                SiteId.fromString("be-coast"),
                LocalDate.of(2027, 1, 1),
                List.of(),
                List.of(new AccountConfig(ACCOUNT, 1, 10_000_000, 1000, List.of(MODEL), List.of())),
                List.of(new ServiceConfig(MODEL, ServiceConfig.Kind.MODEL, "1", false, false, List.of())),
                upstreams,
                new LimitsConfig(1_000_000, 16_384, 100, 100, 1, 100),
                new TimingConfig(20_000, 2000, 2000, 500, 1000, 3000, 10_000, 5000, 10_000, 1000, 10_000, 10_000));
    }

    private record FixedConfig(VersionedConfig config) implements ConfigSource {
        @Override
        public Optional<VersionedConfig> active() {
            return Optional.of(config);
        }

        @Override
        public void subscribe(Consumer<VersionedConfig> subscriber) {
            subscriber.accept(config);
        }
    }

    private static final class AcceptingKeyVerifier implements KeyVerifier {
        @Override
        public KeyVerdict verify(Optional<String> bearerToken, long nowMillis) {
            return KeyVerdict.accepted(ACCOUNT, KeyId.fromString("k1"));
        }

        @Override
        public boolean isStillValid(KeyId key, long nowMillis) {
            return true;
        }
    }

    private static final class UnavailableClaimRegistry implements ClaimRegistry {
        @Override
        public ClaimResult claim(CallClaim claim, long nowMillis, long deadlineMillis) {
            return ClaimResult.of(ClaimResult.Verdict.UNAVAILABLE);
        }

        @Override
        public void recordOutcome(CallClaim claim, CallOutcome outcome, long nowMillis) {}

        @Override
        public void withdraw(CallClaim claim, long nowMillis) {}
    }

    private CompletableFuture<HttpResponse<String>> chat(String content, boolean stream) {
        String body = "{\"model\":\"share-lm\",\"max_tokens\":" + COMPLETION_TOKENS
                + ",\"messages\":[{\"role\":\"user\",\"content\":\""
                + content + "\"}],\"stream\":" + stream
                + (stream ? ",\"stream_options\":{\"include_usage\":true}}" : "}");
        URI uri = URI.create("http://127.0.0.1:" + listener.address().getPort() + "/v1/chat/completions");
        HttpRequest request = HttpRequest.newBuilder(uri)
                .header("Authorization", "Bearer k1.s")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    private static void assertComplete(String content, HttpResponse<String> response) throws Exception {
        assertEquals(200, response.statusCode(), response.body());
        StringBuilder text = new StringBuilder();
        JsonNode usage = null;
        if (response.body().startsWith("data:")) {
            for (String event : response.body().split("\n\n")) {
                JsonNode chunk =
                        MAPPER.readTree(event.substring("data:".length()).replace("[DONE]", "{}"));
                text.append(chunk.at("/choices/0/delta/content").asText(""));
                usage = chunk.path("usage").isObject() ? chunk.path("usage") : usage;
            }
        } else {
            JsonNode completion = MAPPER.readTree(response.body());
            text.append(completion.at("/choices/0/message/content").asText());
            usage = completion.path("usage");
        }
        assertEquals(ExpectedAnswer.forUserMessage(content).text(COMPLETION_TOKENS), text.toString());
        assertEquals(COMPLETION_TOKENS, usage.path("completion_tokens").asInt());
        // The canonical prompt has 6 characters more than the content; tokens have 4 characters.
        assertEquals((content.length() + 6 + 3) / 4, usage.path("prompt_tokens").asInt());
    }

    /** Crashes an engine that has received a request, and removes it from the list of running engines. */
    private void crashEngineThatReceivedRequest(List<StandInEngine> running) {
        Await.until(() -> running.stream().anyMatch(GatewayWithEnginesTest::hasReceivedRequest));
        StandInEngine crashing = running.stream()
                .filter(GatewayWithEnginesTest::hasReceivedRequest)
                .findFirst()
                .orElseThrow();
        running.remove(crashing);
        crashing.crash();
    }

    private static boolean hasReceivedRequest(StandInEngine engine) {
        return !engine.log()
                .matching(received -> !received.attemptId().isEmpty())
                .isEmpty();
    }

    @ParameterizedTest
    @CsvSource({"false,0", "true,0", "false,1", "true,1", "false,2", "true,2"})
    void returnsCompleteResponsesAndCountsUsageOnceDespiteCrashes(boolean stream, int crashes) throws Exception {
        List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
        for (int i = 0; i < REQUEST_COUNT; i++) {
            responses.add(chat("logbook " + i, stream));
        }
        List<StandInEngine> running = new ArrayList<>(engines);
        for (int i = 0; i < crashes; i++) {
            crashEngineThatReceivedRequest(running);
        }
        for (int i = 0; i < REQUEST_COUNT; i++) {
            assertComplete("logbook " + i, responses.get(i).get(RESPONSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        }
        assertEquals(
                REQUEST_COUNT * COMPLETION_TOKENS,
                usageRecords.stream().mapToLong(UsageRecord::completionTokens).sum());
        assertEquals(
                REQUEST_COUNT,
                usageRecords.stream().mapToLong(UsageRecord::requests).sum());
    }
}
