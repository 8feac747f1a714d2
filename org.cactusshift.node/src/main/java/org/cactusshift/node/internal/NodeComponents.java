package org.cactusshift.node.internal;

import io.opentelemetry.sdk.trace.export.SpanExporter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGeneratorFactory;
import javax.net.ssl.SSLContext;
import org.cactusshift.config.LimitsConfig;
import org.cactusshift.config.NodeSettings;
import org.cactusshift.config.TimingConfig;
import org.cactusshift.errors.CactusshiftException;
import org.cactusshift.errors.Failure;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.RequestId;
import org.cactusshift.internal.coordination.configsync.ConfigDistributor;
import org.cactusshift.internal.coordination.configsync.ConfigRepository;
import org.cactusshift.internal.coordination.configsync.KeyRingUpdater;
import org.cactusshift.internal.coordination.dispatch.DispatchService;
import org.cactusshift.internal.coordination.dispatch.DispatcherOptions;
import org.cactusshift.internal.coordination.dispatch.Explanation;
import org.cactusshift.internal.coordination.dispatch.ServiceDispatcher;
import org.cactusshift.internal.coordination.key.KeyFreshness;
import org.cactusshift.internal.coordination.key.KeyHasher;
import org.cactusshift.internal.coordination.key.KeyRing;
import org.cactusshift.internal.coordination.membership.Member;
import org.cactusshift.internal.coordination.membership.MembershipTable;
import org.cactusshift.internal.coordination.store.BudgetedKeyValueStore;
import org.cactusshift.internal.transport.gateway.Gateway;
import org.cactusshift.internal.transport.gateway.GatewayDependencies;
import org.cactusshift.internal.transport.gateway.GatewayMetrics;
import org.cactusshift.internal.transport.gateway.UpstreamLoadPoller;
import org.cactusshift.internal.transport.http.HttpClientPool;
import org.cactusshift.internal.transport.http.HttpClientSettings;
import org.cactusshift.internal.transport.http.HttpHandler;
import org.cactusshift.internal.transport.http.HttpListener;
import org.cactusshift.internal.transport.http.ListenerSettings;
import org.cactusshift.internal.transport.peer.PeerClient;
import org.cactusshift.internal.transport.peer.PeerServer;
import org.cactusshift.internal.transport.platform.HttpInstanceListReader;
import org.cactusshift.internal.transport.platform.PlatformHttpClient;
import org.cactusshift.internal.transport.store.EtcdKeyValueStore;
import org.cactusshift.internal.transport.store.EtcdStoreSettings;
import org.cactusshift.internal.transport.tls.TlsContext;

/** The components of a node: creates, connects, starts and stops them. */
public final class NodeComponents {
    private static final System.Logger LOG = System.getLogger(NodeComponents.class.getName());
    /** Timeout of each call to the platform and to the engines' order interface. */
    private static final long PLATFORM_TIMEOUT_MILLIS = 1_000;

    private static final long DRAIN_EXPIRY_CHECK_PERIOD_MILLIS = 500;

    private final LongSupplier monotonicMillis = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    private final NodeSettings settings;
    private final IncarnationId incarnation = NodeIdentity.newIncarnation();
    private final NodeExecutors executors = NodeExecutors.create();
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Telemetry telemetry;
    private final Optional<TlsContext> tls;
    private final PeerClient peerClient;
    private final EtcdKeyValueStore etcdStore;
    private final BudgetedKeyValueStore store;
    private final PlatformHttpClient platform = PlatformHttpClient.create(PLATFORM_TIMEOUT_MILLIS);
    private final MembershipTable membership;
    private final KeyFreshness freshness;
    private final KeyHasher hasher;
    private final KeyRing keys;
    private final DispatchService dispatch;
    private final HttpClientPool connectionPool;

    private PeerServer peerServer;
    private NodeIdentity identity;
    private ConfigDistributor config;
    private NodeReadiness readiness;
    private DeferredCoordination coordination;
    private HeartbeatService heartbeats;
    private Optional<InstanceListPoller> instanceListPoller = Optional.empty();
    private UpstreamLoadPoller loadPoller;
    private HttpListener callerListener;
    private HttpListener operatorListener;

    private NodeComponents(NodeSettings settings, Optional<SpanExporter> spanExporter) throws CactusshiftException {
        this.settings = settings;
        this.telemetry = Telemetry.create(settings, spanExporter);
        this.tls = settings.tls().isPresent()
                ? Optional.of(orThrow(TlsContext.load(settings.tls().get(), executors.scheduler())))
                : Optional.empty();
        this.peerClient = PeerClient.create(tls, executors.workers());
        this.etcdStore = EtcdKeyValueStore.create(EtcdStoreSettings.forAddresses(settings.storeAddresses()));
        this.store = BudgetedKeyValueStore.create(etcdStore, NodeDefaults.STORE_BUDGET, System::nanoTime);
        NodeMetrics.register(registry, store, this::openRequests);
        this.membership = MembershipTable.create(settings.instanceId(), () -> timing().suspicionMillis());
        this.freshness = KeyFreshness.create(
                settings.instanceId(),
                settings.failureDomain(),
                NodeDefaults.TIMING.keyFreshnessMillis(),
                NodeDefaults.TIMING.suspicionMillis());
        this.hasher = KeyHasher.fromHex(settings.keyHashSecretHex());
        this.keys = KeyRing.create(hasher, freshness);
        this.dispatch = DispatchService.create(
                (service, site) -> ServiceDispatcher.create(
                        DispatcherOptions.create(incarnation, service.kind(), site.limits()),
                        RandomGeneratorFactory.of("L64X128MixRandom").create()),
                monotonicMillis,
                executors.scheduler());
        this.connectionPool =
                HttpClientPool.create(() -> HttpClientSettings.of(timing()), monotonicMillis, executors.scheduler());
    }

    /**
     * Creates and starts all components.
     *
     * @param settings the settings of the process
     * @param spanExporter an additional exporter of spans, or empty
     * @return the components
     * @throws CactusshiftException if an address can't be bound or a certificate can't be read
     */
    public static NodeComponents start(NodeSettings settings, Optional<SpanExporter> spanExporter)
            throws CactusshiftException {
        NodeComponents components = new NodeComponents(settings, spanExporter);
        try {
            components.startCoordination();
            components.startServing();
        } catch (CactusshiftException e) {
            components.executors.close();
            throw e;
        }
        return components;
    }

    private void startCoordination() throws CactusshiftException {
        peerServer = orThrow(PeerServer.start(toSocketAddress(settings.peerAddress()), tls, executors.workers()));
        identity = new NodeIdentity(settings, incarnation, hostOf(settings.peerAddress()) + ":" + peerServer.port());
        config = ConfigDistributor.builder()
                .setSelf(settings.instanceId(), settings.failureDomain())
                .setRepository(ConfigRepository.open(store, settings.site()))
                .setPeers(GrpcConfigPeerClient.over(peerClient, identity.sender(), this::peerAddresses))
                .setListener(KeyRingUpdater.of(keys, freshness))
                .setMembers(() -> membership.members(monotonicMillis.getAsLong()))
                .setContactAgeMillis(() -> freshness.contactAgeMillis(monotonicMillis.getAsLong()))
                .setMonotonicMillis(monotonicMillis)
                .build();
        readiness = NodeReadiness.create(config, dispatch, freshness);
        UpstreamDrains drains = new UpstreamDrains(config, dispatch, monotonicMillis);
        PlannedChangeDependencies changes = new PlannedChangeDependencies(
                config, membership, drains, executors.workers(), NodeMetrics.registerPlannedChanges(registry));
        coordination = new DeferredCoordination(timing ->
                CoordinationServices.create(identity, store, peerClient, platform, changes, timing, monotonicMillis));
        HeartbeatExchange exchange =
                new HeartbeatExchange(identity, membership, freshness, config, dispatch, monotonicMillis);
        executors
                .scheduler()
                .scheduleWithFixedDelay(
                        drains::expire,
                        DRAIN_EXPIRY_CHECK_PERIOD_MILLIS,
                        DRAIN_EXPIRY_CHECK_PERIOD_MILLIS,
                        TimeUnit.MILLISECONDS);
        peerServer.registerHandler(new NodePeerRequestHandler(exchange, config, coordination, drains));
        config.subscribe(
                activeConfig -> coordination.start(activeConfig.config().timing()));
        config.subscribe(dispatch::install);
        config.start();
        heartbeats = HeartbeatService.start(
                new HeartbeatService.Dependencies(
                        identity,
                        exchange,
                        peerClient,
                        coordination,
                        executors.workers(),
                        executors.scheduler(),
                        monotonicMillis),
                NodeDefaults.TIMING.heartbeatMillis(),
                NodeDefaults.TIMING.suspicionMillis());
        instanceListPoller = settings.instanceListAddress()
                .map(address -> InstanceListPoller.start(
                        HttpInstanceListReader.create(platform, address),
                        membership,
                        config,
                        dispatch,
                        monotonicMillis,
                        executors.scheduler()));
    }

    private void startServing() throws CactusshiftException {
        loadPoller = UpstreamLoadPoller.start(config, dispatch, connectionPool, monotonicMillis, executors.scheduler());
        Gateway gateway = Gateway.create(new GatewayDependencies(
                config,
                keys,
                dispatch,
                coordination,
                coordination,
                connectionPool,
                telemetry.tracer(),
                GatewayMetrics.create(registry),
                monotonicMillis,
                Clock.systemUTC(),
                this::isReady));
        callerListener = listen(settings.callerAddress(), gateway);
        operatorListener = listen(
                settings.operatorAddress(),
                OperatorHttpHandler.create(
                        registry, hasher, settings.operatorKeyHash(), this::isReady, this::status, this::explain));
        LOG.log(System.Logger.Level.INFO, "node {0} accepts callers on {1}", settings.instanceId(), callerAddress());
    }

    private HttpListener listen(String address, HttpHandler handler) throws CactusshiftException {
        Supplier<SSLContext> context = null;
        if (tls.isPresent()) {
            SSLContext created = orThrow(tls.get().sslContext());
            context = () -> created;
        }
        try {
            return HttpListener.open(
                    toSocketAddress(address), () -> ListenerSettings.of(limits(), timing()), handler, context);
        } catch (IOException e) {
            throw new CactusshiftException(Failure.noEffect("listen", address, e.toString()));
        }
    }

    private LimitsConfig limits() {
        return config.active()
                .map(activeConfig -> activeConfig.config().limits())
                .orElse(NodeDefaults.LIMITS);
    }

    private TimingConfig timing() {
        // config is null until startCoordination has set it; suppliers made by the constructor call this method too.
        return Optional.ofNullable(config)
                .flatMap(ConfigDistributor::active)
                .map(activeConfig -> activeConfig.config().timing())
                .orElse(NodeDefaults.TIMING);
    }

    private List<String> peerAddresses() {
        Set<String> addresses = new LinkedHashSet<>();
        membership.members(monotonicMillis.getAsLong()).stream()
                // Live peers first.
                .sorted((left, right) -> left.state().compareTo(right.state()))
                .map(Member::peerAddress)
                .forEach(addresses::add);
        addresses.addAll(settings.peerAddresses());
        addresses.remove(identity.peerAddress());
        return List.copyOf(addresses);
    }

    /**
     * Returns whether the node accepts requests.
     *
     * @return true if it has a configuration and can dispatch requests, can decide which API keys are valid, and is not
     *     stopping
     */
    public boolean isReady() {
        return notReadyReason().isEmpty();
    }

    private Optional<String> notReadyReason() {
        return readiness.notReadyReason(monotonicMillis.getAsLong());
    }

    private int openRequests() {
        return dispatch.openRequests();
    }

    private Object status() {
        long nowMillis = monotonicMillis.getAsLong();
        return new NodeStatus(
                settings.instanceId(),
                incarnation,
                settings.site(),
                isReady(),
                notReadyReason(),
                config.version(),
                freshness.status(nowMillis).name(),
                freshness.contactAgeMillis(nowMillis),
                openRequests(),
                coordination.heldDuties(),
                membership.members(nowMillis).stream()
                        .map(member -> new NodeStatus.MemberStatus(
                                member.id(),
                                member.failureDomain().value(),
                                member.state().name()))
                        .toList());
    }

    private Optional<Object> explain(String requestId) {
        try {
            List<Explanation> explanations = dispatch.explain(RequestId.fromString(requestId));
            return explanations.isEmpty() ? Optional.empty() : Optional.of(explanations);
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /**
     * Stops gracefully: announces the leave, completes open requests within the shutdown timeout, hands over usage
     * counts and releases duties while peers can still be called, then closes the connections.
     *
     * @return true if all open requests of callers completed; false if the shutdown timeout expired or the thread was
     *     interrupted before that
     */
    public boolean stop() {
        readiness.markStopping();
        heartbeats.announceLeaving();
        boolean allRequestsCompleted = stopListener(callerListener);
        loadPoller.close();
        instanceListPoller.ifPresent(InstanceListPoller::close);
        coordination.close();
        heartbeats.close();
        stopListener(operatorListener);
        config.close();
        peerServer.close();
        peerClient.close();
        dispatch.close();
        connectionPool.close();
        etcdStore.close();
        platform.close();
        telemetry.close();
        tls.ifPresent(TlsContext::close);
        executors.close();
        return allRequestsCompleted;
    }

    private boolean stopListener(HttpListener listener) {
        try {
            return listener.stop(timing().shutdownTimeoutMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /**
     * Returns the address that callers connect to.
     *
     * @return the address, as {@code ADDRESS:PORT}
     */
    public String callerAddress() {
        return hostOf(settings.callerAddress()) + ":" + callerListener.address().getPort();
    }

    /**
     * Returns the address that operators connect to.
     *
     * @return the address, as {@code ADDRESS:PORT}
     */
    public String operatorAddress() {
        return hostOf(settings.operatorAddress()) + ":"
                + operatorListener.address().getPort();
    }

    /**
     * Returns the address that peers connect to.
     *
     * @return the address, as {@code ADDRESS:PORT}
     */
    public String peerAddress() {
        return identity.peerAddress();
    }

    private static String hostOf(String address) {
        return address.substring(0, address.lastIndexOf(':'));
    }

    private static InetSocketAddress toSocketAddress(String address) {
        return new InetSocketAddress(
                hostOf(address), Integer.parseInt(address.substring(address.lastIndexOf(':') + 1)));
    }

    private static <T> T orThrow(Either<Failure, T> either) throws CactusshiftException {
        if (either.isLeft()) {
            throw new CactusshiftException(either.getLeft());
        }
        return either.get();
    }
}
