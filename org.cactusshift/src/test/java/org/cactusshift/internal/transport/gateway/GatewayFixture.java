package org.cactusshift.internal.transport.gateway;

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
import java.time.Duration;
import java.time.LocalDate;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
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
import org.cactusshift.internal.coordination.configsync.ConfigSource;
import org.cactusshift.internal.coordination.configsync.VersionedConfig;
import org.cactusshift.internal.coordination.dispatch.DispatchService;
import org.cactusshift.internal.coordination.dispatch.DispatcherOptions;
import org.cactusshift.internal.coordination.dispatch.ServiceDispatcher;
import org.cactusshift.internal.coordination.key.KeyVerdict;
import org.cactusshift.internal.coordination.key.KeyVerifier;
import org.cactusshift.internal.coordination.usage.UsageRecord;
import org.cactusshift.internal.transport.http.HttpClientPool;
import org.cactusshift.internal.transport.http.HttpClientSettings;
import org.cactusshift.internal.transport.http.HttpListener;
import org.cactusshift.internal.transport.http.ListenerSettings;
import org.cactusshift.internal.transport.http.ResponseNeededCheck;

/** A gateway on a loopback port whose collaborators are fakes. */
final class GatewayFixture implements AutoCloseable {
    static final ServiceId MODEL = ServiceId.fromString("share-lm");
    static final ServiceId PLAIN_SERVICE = ServiceId.fromString("settle-app");
    /** The bearer token of the client account: key id and secret. */
    static final String BEARER_TOKEN = "k1.secret";

    private static final AccountId ACCOUNT = AccountId.fromString("crew");
    private static final KeyId KEY_ID = KeyId.fromString("k1");
    private static final long TIMEOUT_MILLIS = 10_000;
    private static final long SEED = 20261204L;
    /** The deadline of requests whose caller names none. */
    static final long REQUEST_TIMEOUT_MILLIS = 30_000;

    final Map<ServiceId, FakeDispatcher> dispatchers = new ConcurrentHashMap<>();
    final FakeClaimRegistry claims = new FakeClaimRegistry();
    final List<UsageRecord> usageRecords = Collections.synchronizedList(new ArrayList<>());
    final LongSupplier monotonicMillis = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(2);
    /** How often the gateway has read the clock; an open request reads it at each check while it waits. */
    private final AtomicInteger clockReadings = new AtomicInteger();

    final VersionedConfig config;
    final DispatchService dispatch;
    final HttpClientPool pool;
    final HttpListener listener;
    volatile boolean keyValid = true;
    /** The status returned for every key; null for the normal check. */
    volatile KeyVerdict.Status forcedKeyStatus;

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private GatewayFixture(List<UpstreamConfig> upstreams) throws IOException {
        this(upstreams, REQUEST_TIMEOUT_MILLIS, 400, Optional.empty());
    }

    private GatewayFixture(
            List<UpstreamConfig> upstreams,
            long requestTimeoutMillis,
            long headerTimeoutMillis,
            Optional<DispatchService.DispatcherFactory> dispatcherFactory)
            throws IOException {
        config = new VersionedConfig(1, site(upstreams, requestTimeoutMillis, headerTimeoutMillis));
        dispatch = DispatchService.create(
                dispatcherFactory.orElse(
                        (service, site) -> dispatchers.computeIfAbsent(service.id(), id -> new FakeDispatcher())),
                monotonicMillis,
                scheduler);
        dispatch.install(config);
        TimingConfig timing = config.config().timing();
        pool = HttpClientPool.create(() -> HttpClientSettings.of(timing), monotonicMillis, scheduler);
        GatewayDependencies dependencies = new GatewayDependencies(
                configSource(),
                keyVerifier(),
                dispatch,
                claims,
                (record, epochMillis) -> usageRecords.add(record),
                pool,
                OpenTelemetry.noop().getTracer("test"),
                GatewayMetrics.create(new PrometheusRegistry()),
                this::readGatewayClock,
                Clock.systemUTC(),
                () -> true);
        listener = HttpListener.open(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                () -> ListenerSettings.of(config.config().limits(), timing),
                Gateway.create(dependencies));
    }

    static GatewayFixture withEngines(String... addresses) throws IOException {
        return new GatewayFixture(upstreams(MODEL, addresses));
    }

    static GatewayFixture withServices(String... addresses) throws IOException {
        return new GatewayFixture(upstreams(PLAIN_SERVICE, addresses));
    }

    /**
     * Starts a gateway with the dispatcher of the product instead of a fake.
     *
     * @param retryBudgetRatio the retries allowed per request; 0 allows none
     * @param requestTimeoutMillis the deadline of requests whose caller names none
     */
    static GatewayFixture withServiceDispatcher(
            ServiceId service, double retryBudgetRatio, long requestTimeoutMillis, String... addresses)
            throws IOException {
        DispatchService.DispatcherFactory factory = (config, site) -> ServiceDispatcher.create(
                new DispatcherOptions(IncarnationId.fromString("n1"), config.kind(), 100, retryBudgetRatio),
                new Random(SEED));
        return new GatewayFixture(
                upstreams(service, addresses), requestTimeoutMillis, TIMEOUT_MILLIS, Optional.of(factory));
    }

    private static List<UpstreamConfig> upstreams(ServiceId service, String... addresses) {
        List<UpstreamConfig> upstreams = new ArrayList<>();
        for (String address : addresses) {
            upstreams.add(new UpstreamConfig(
                    UpstreamId.fromString("u" + upstreams.size()),
                    service,
                    FailureDomainId.fromString("ostend-a"),
                    address,
                    UpstreamConfig.Role.MIXED,
                    false,
                    false,
                    false,
                    1.0,
                    16));
        }
        return upstreams;
    }

    private static SiteConfig site(
            List<UpstreamConfig> upstreams, long requestTimeoutMillis, long headerTimeoutMillis) {
        AccountConfig account = new AccountConfig(ACCOUNT, 1, 1_000_000, 100, List.of(MODEL, PLAIN_SERVICE), List.of());
        ServiceConfig model = new ServiceConfig(MODEL, ServiceConfig.Kind.MODEL, "1", false, false, List.of());
        ServiceConfig plain =
                new ServiceConfig(PLAIN_SERVICE, ServiceConfig.Kind.PLAIN, "", false, false, List.of("/balance"));
        // Accepts requests without a key; repeatable.
        ServiceConfig openRouteService = new ServiceConfig(
                ServiceId.fromString("open-app"), ServiceConfig.Kind.PLAIN, "", true, true, List.of());
        // Not granted to the client account.
        ServiceConfig forbiddenModel = new ServiceConfig(
                ServiceId.fromString("other-lm"), ServiceConfig.Kind.MODEL, "1", false, false, List.of());
        LimitsConfig limits = new LimitsConfig(64 * 1024, 8 * 1024, 64, 100, 0.1, 100);
        TimingConfig timing = new TimingConfig(
                requestTimeoutMillis,
                headerTimeoutMillis,
                1000,
                500,
                1000,
                3000,
                10_000,
                5000,
                10_000,
                1000,
                10_000,
                10_000);
        return new SiteConfig(
                1,
                SiteId.fromString("be-coast"),
                LocalDate.of(2027, 1, 1),
                List.of(),
                List.of(account),
                List.of(model, plain, openRouteService, forbiddenModel),
                upstreams,
                limits,
                timing);
    }

    private ConfigSource configSource() {
        return new ConfigSource() {
            @Override
            public Optional<VersionedConfig> active() {
                return Optional.of(config);
            }

            @Override
            public void subscribe(Consumer<VersionedConfig> subscriber) {
                subscriber.accept(config);
            }
        };
    }

    private KeyVerifier keyVerifier() {
        return new KeyVerifier() {
            @Override
            public KeyVerdict verify(Optional<String> bearer, long nowMillis) {
                if (forcedKeyStatus != null) {
                    return KeyVerdict.of(forcedKeyStatus);
                }
                if (bearer.isEmpty()) {
                    return KeyVerdict.of(KeyVerdict.Status.MISSING);
                }
                return bearer.get().equals(BEARER_TOKEN) && keyValid
                        ? KeyVerdict.accepted(ACCOUNT, KEY_ID)
                        : KeyVerdict.of(KeyVerdict.Status.INVALID);
            }

            @Override
            public boolean isStillValid(KeyId key, long nowMillis) {
                return keyValid;
            }
        };
    }

    FakeDispatcher modelDispatcher() {
        return dispatchers.get(MODEL);
    }

    FakeDispatcher serviceDispatcher() {
        return dispatchers.get(PLAIN_SERVICE);
    }

    HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + listener.address().getPort() + path))
                .timeout(Duration.ofMillis(TIMEOUT_MILLIS))
                .header("Authorization", "Bearer " + BEARER_TOKEN);
    }

    HttpResponse<String> send(HttpRequest request) throws Exception {
        // The client's own timeout ends with the headers; this one bounds the body too.
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    HttpResponse<String> post(String path, String body, String... headers) throws Exception {
        HttpRequest.Builder builder = request(path).POST(HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            builder.headers(headers);
        }
        return send(builder.build());
    }

    HttpResponse<String> chat(boolean stream) throws Exception {
        return post("/v1/chat/completions", chatBody(stream));
    }

    static String chatBody(boolean stream) {
        return "{\"model\":\"share-lm\",\"max_tokens\":100,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}],"
                + "\"x_unknown\":{\"a\":1.10},\"stream\":" + stream
                + (stream ? ",\"stream_options\":{\"include_usage\":true}}" : "}");
    }

    private long readGatewayClock() {
        clockReadings.incrementAndGet();
        return monotonicMillis.getAsLong();
    }

    /**
     * Waits until the only open request has been checked so often that its upstream, silent since before the call, has
     * exceeded the progress timeout, or until the response ends before.
     */
    void awaitProgressTimeout(Future<?> response) throws InterruptedException {
        long timeoutMillis = config.config().timing().upstreamProgressTimeoutMillis();
        long checks = timeoutMillis / ResponseNeededCheck.CHECK_INTERVAL_MILLIS + 4;
        long end = clockReadings.get() + checks;
        await(() -> clockReadings.get() >= end || response.isDone());
    }

    /** Sends a request in another thread. */
    CompletableFuture<HttpResponse<String>> postAsync(String path, String body) {
        return client.sendAsync(
                request(path).POST(HttpRequest.BodyPublishers.ofString(body)).build(),
                HttpResponse.BodyHandlers.ofString());
    }

    /** Waits until a condition holds; fails after {@link #TIMEOUT_MILLIS}. */
    static void await(BooleanSupplier condition) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > endNanos) {
                throw new AssertionError("the condition did not hold within 10 s");
            }
            Thread.sleep(5);
        }
    }

    @Override
    public void close() {
        listener.close();
        pool.close();
        dispatch.close();
        scheduler.shutdownNow();
    }
}
