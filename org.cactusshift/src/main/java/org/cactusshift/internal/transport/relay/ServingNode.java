package org.cactusshift.internal.transport.relay;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.SiteId;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.lease.DutyHolder;
import org.cactusshift.internal.coordination.lease.DutyId;
import org.cactusshift.internal.coordination.lease.LeaseTiming;
import org.cactusshift.internal.coordination.lease.RendezvousHash;
import org.cactusshift.internal.coordination.limits.ResponseBufferLimit;
import org.cactusshift.internal.coordination.limits.UpstreamRequestLimits;
import org.cactusshift.internal.coordination.quarantine.CrashHistory;
import org.cactusshift.internal.coordination.serving.CallerLimits;
import org.cactusshift.internal.coordination.serving.CrashDetector;
import org.cactusshift.internal.coordination.serving.GossipReceiver;
import org.cactusshift.internal.coordination.serving.PeerToken;
import org.cactusshift.internal.coordination.serving.Placer;
import org.cactusshift.internal.coordination.serving.ResponseTimeRecorder;
import org.cactusshift.internal.coordination.serving.ServedService;
import org.cactusshift.internal.coordination.serving.ServiceReachability;
import org.cactusshift.internal.coordination.serving.ServingConfig;
import org.cactusshift.internal.coordination.serving.SiteClock;
import org.cactusshift.internal.coordination.serving.Upstream;
import org.cactusshift.internal.coordination.serving.UpstreamDirectory;
import org.cactusshift.internal.coordination.serving.UsageCollector;
import org.cactusshift.internal.coordination.serving.UsageCounts;
import org.cactusshift.internal.coordination.serving.WindowedRetryBudget;
import org.cactusshift.internal.coordination.store.AsyncKeyValueStore;

/**
 * A node of the relay: serves callers, follows the store, exchanges gossip messages with its peers and performs duties.
 */
public final class ServingNode {
    /**
     * The period of the housekeeping, duties and gossip of a node; also how long a connection must have been idle for a
     * stopping node to close it.
     */
    private static final long TICK_MILLIS = 250;

    /** Number of gossip rounds without a message after which a peer is removed. */
    private static final int PEER_TIMEOUT_ROUNDS = 6;

    /**
     * How long an upstream is kept whose entry expired while the store was unavailable, as a fraction of the drain
     * time.
     */
    private static final double EXPIRED_ENTRY_GRACE_SHARE = 0.4;

    /** How long a crash of an upstream counts against a request. */
    private static final long CRASH_RETENTION_MILLIS = 120_000;

    /**
     * How long a stopping node waits before it closes idle connections: the load balancer sends no new callers after
     * two failed readiness checks, one second apart.
     */
    private static final long BALANCER_REACTION_MILLIS = 2_500;

    /** Part of the grace time that is left for the process itself to exit. */
    private static final long PROCESS_EXIT_MILLIS = 700;

    /** The site id in the store keys of duties; the same for all nodes. */
    private static final SiteId SITE = SiteId.fromString("site");

    /** The prefix of all store keys that nodes write. */
    private static final String NODE_KEY_PREFIX = "/cactusshift/";

    private static final String USAGE_PREFIX = NODE_KEY_PREFIX + "usage/";
    private static final String PLAN_KEY = NODE_KEY_PREFIX + "fleet";
    private static final String STAGES_KEY = NODE_KEY_PREFIX + "stages";
    private static final String STREAM_VERSIONS_KEY = NODE_KEY_PREFIX + "streamVersions";

    /**
     * Limits for requests that peers pass on: these carry headers of their own, and the body was within the limits of
     * the node that the caller chose. Idle connections are kept longer than a peer keeps them.
     */
    private static final CallerLimits PEER_LIMITS = new CallerLimits(65_536, 64 * 1_024 * 1_024, 3_000, 25_000);

    /** The KV-cache capacity, in tokens, that is assumed while the configuration states none for a service. */
    private static final long DEFAULT_KV_CAPACITY_TOKENS = 1L << 20;

    private final NodeRuntime runtime;
    private final NodeSettings settings;
    private NodeSettings.Retries retries;
    private final EventLoop eventLoop;
    private final DutyId usageDuty = DutyId.usage(0);

    /** One duty covers the orders for upstreams in all failure domains. */
    private final DutyId fleetDuty = DutyId.upstreamOrders(FailureDomainId.fromString("all"));

    /** The first 13 characters of a random UUID, which are 12 hexadecimal digits and a dash. */
    private final IncarnationId incarnation =
            IncarnationId.fromString(UUID.randomUUID().toString().substring(0, 13));

    private final Map<ServiceId, WindowedRetryBudget> retryBudgetByService = new HashMap<>();
    private final RelayMetrics metrics = new RelayMetrics();
    private final SiteClock siteClock = new SiteClock();
    private final CrashHistory crashHistory = CrashHistory.create(CRASH_RETENTION_MILLIS);
    private final UpstreamRequestLimits upstreamLimits;
    private final ResponseBufferLimit responseBuffers = ResponseBufferLimit.ofHeap();
    private final CallerMemory callerMemory = CallerMemory.ofHeap();
    private final AsyncKeyValueStore store;
    private final UsageCounts usage;
    private final UpstreamDirectory directory;
    private final SiteStateFollower follower;
    private final GossipReceiver gossipReceiver;
    private final PeerDatagramChannel gossipChannel;
    private final StreamOriginExchange streamOrigins;
    private final StreamVersionRepository streamVersions;
    private final AnnouncedStages announcedStages;
    private final SharedReads sharedReads;
    private final QuotaExchange quotas;
    private final NodeRegistration registration;
    private final DutyDriver dutyDriver;
    private final Optional<UsageReportDriver> usageReportDriver;
    private final Optional<FleetController> fleetController;
    private final GossipSender gossipSender;
    private final ServiceReachability reachability = ServiceReachability.create(this::acceptingUpstreams);
    private final UpstreamCheck upstreamCheck;
    private final CallerServer callerServer;
    private final CallerServer peerServer;
    private final StatusServers statusServers;
    private final long startedAtMillis;
    private boolean stopping;
    private long stopRequestedAtMillis;

    /**
     * The platform-specific parts of a node: formats, store and clients.
     *
     * @param codec encodes and decodes headers of requests and responses
     * @param decoder decodes values of the store
     * @param store the store
     * @param usageReportClient sends usage reports, empty when the site accepts none
     * @param fleetOrderClient sends orders for engines and changes of stage, empty when the site's fleet is fixed
     * @param readinessPath the path of the load balancer's readiness check
     */
    public record Protocol(
            RelayCodec codec,
            StoreValueDecoder decoder,
            AsyncKeyValueStore store,
            Optional<UsageReportClient> usageReportClient,
            Optional<FleetOrderClient> fleetOrderClient,
            String readinessPath) {}

    private ServingNode(NodeRuntime runtime, NodeSettings settings, Protocol protocol) {
        this.runtime = runtime;
        this.settings = settings;
        this.retries = settings.retries();
        this.eventLoop = runtime.eventLoop();
        this.startedAtMillis = runtime.clock().monotonicMillis();
        this.store = protocol.store();
        this.usage = UsageCounts.create(settings.timing().usageWindowMillis());
        this.directory = UpstreamDirectory.create(
                this::kvCapacityTokens,
                Math.round(EXPIRED_ENTRY_GRACE_SHARE * settings.timing().drainMillis()));
        this.upstreamLimits = UpstreamRequestLimits.create(
                settings.instance(),
                id -> directory.find(id).map(upstream -> upstream.entry().service()));
        UpstreamIncidentLog incidents =
                new UpstreamIncidentLog(runtime.log(), runtime.clock(), crashHistory, upstreamLimits);
        CrashDetector crashDetector = CrashDetector.create(crashHistory, incidents::onCrash);
        this.follower = createFollower(protocol, crashDetector);
        this.announcedStages = AnnouncedStages.create(follower, directory, STAGES_KEY);
        this.gossipReceiver =
                GossipReceiver.create(directory, siteClock, usage, crashHistory, incidents::onLimitReport);
        this.gossipChannel = PeerDatagramChannel.create(runtime.group(), runtime.log());
        this.streamOrigins =
                StreamOriginExchange.create(settings.instance(), gossipChannel, eventLoop, runtime.clock());
        this.streamVersions =
                StreamVersionRepository.create(STREAM_VERSIONS_KEY, protocol.store(), follower, runtime.log());
        DutyHolder self = new DutyHolder(settings.instance(), incarnation, addressText(settings.peerAddress()), 0);
        PeerToken peerToken = PeerToken.random(new SecureRandom());
        this.registration = NodeRegistration.create(
                self,
                settings.domain(),
                peerToken,
                NODE_KEY_PREFIX,
                protocol.store(),
                follower,
                runtime.clock(),
                runtime.log());
        this.sharedReads = createSharedReads();
        this.dutyDriver = DutyDriver.create(
                self,
                LeaseTiming.ofTtl(settings.timing().leaseMillis()),
                SITE,
                protocol.store(),
                follower,
                runtime.clock(),
                runtime.log());
        this.usageReportDriver = protocol.usageReportClient()
                .map(client -> UsageReportDriver.create(
                        usage,
                        client,
                        protocol.store(),
                        follower,
                        dutyDriver::caller,
                        USAGE_PREFIX,
                        () -> RendezvousHash.rank(usageDuty, settings.instance(), registration.nodeIds()),
                        runtime.log()));
        this.fleetController = protocol.fleetOrderClient().map(client -> createFleetController(client, protocol));
        this.gossipSender = GossipSender.create(
                self, gossipChannel, directory, usage, crashHistory, upstreamLimits, reachability, TICK_MILLIS);
        SplittableRandom random = new SplittableRandom();
        this.upstreamCheck = UpstreamCheck.create(new UpstreamCheck.Dependencies(
                eventLoop,
                runtime.pool(),
                runtime.clock(),
                crashDetector,
                upstreamLimits,
                directory,
                reachability,
                runtime.log(),
                random));
        runtime.pool().setMismatchListener(ResponseMismatchLog.create(runtime.clock(), metrics, runtime.log()));
        RelayContext context = context(protocol, crashDetector, random);
        this.quotas = QuotaExchange.create(new QuotaExchange.Dependencies(
                self, gossipChannel, follower::config, this::nodeCount, metrics, runtime, random));
        this.callerServer = createServer(protocol, this::limits, Relay.create(context, follower::config, quotas));
        this.peerServer = createServer(
                protocol, () -> PEER_LIMITS, PeerRequestHandler.create(context, peerToken, this::openPeerRequestCount));
        this.statusServers =
                StatusServers.create(runtime, callerMemory, protocol.readinessPath(), this::isReady, this::metricsText);
    }

    /**
     * Returns a node that has not been started.
     *
     * @param runtime the event loop, clock, connection pool and log
     * @param settings the settings
     * @param protocol the platform-specific parts
     * @return the node
     */
    public static ServingNode create(NodeRuntime runtime, NodeSettings settings, Protocol protocol) {
        return new ServingNode(runtime, settings, protocol);
    }

    private CallerServer createServer(Protocol protocol, Supplier<CallerLimits> limits, CallerRequestHandler handler) {
        return CallerServer.create(
                runtime.group(), runtime.clock(), limits, handler, protocol.codec(), runtime.log(), callerMemory);
    }

    private FleetController createFleetController(FleetOrderClient client, Protocol protocol) {
        return FleetController.create(
                client,
                protocol.store(),
                follower,
                directory,
                upstreamLimits,
                dutyDriver::caller,
                new FleetController.Keys(PLAN_KEY, STAGES_KEY),
                runtime.log());
    }

    private SiteStateFollower createFollower(Protocol protocol, CrashDetector crashDetector) {
        return SiteStateFollower.create(
                new SiteStateFollower.Dependencies(
                        protocol.store(),
                        protocol.decoder(),
                        directory,
                        crashDetector,
                        eventLoop,
                        runtime.clock(),
                        runtime.log(),
                        metrics),
                NODE_KEY_PREFIX,
                Math.min(settings.timing().configMillis(), settings.timing().drainMillis()));
    }

    private SharedReads createSharedReads() {
        return SharedReads.create(
                settings.instance(),
                settings.domain(),
                registration::peerEndpoints,
                gossipChannel,
                follower.longestReadPeriodMillis() / 2);
    }

    private Set<UpstreamId> acceptingUpstreams(ServiceId service) {
        return directory.acceptingWork(service).stream().map(Upstream::id).collect(Collectors.toSet());
    }

    private int openPeerRequestCount() {
        return peerServer.openRequestCount();
    }

    private RelayContext context(Protocol protocol, CrashDetector crashDetector, RandomGenerator random) {
        ResponseTimeRecorder responseTimes = ResponseTimeRecorder.create(gossipSender.performanceSamples());
        return new RelayContext(
                eventLoop,
                runtime.clock(),
                protocol.codec(),
                runtime.pool(),
                Placer.create(directory, upstreamLimits, this::service, responseTimes.latency(), random),
                responseTimes,
                this::retryBudget,
                crashHistory,
                crashDetector,
                reachability,
                RequestPassing.create(settings.instance(), registration::peerEndpoints, runtime.clock(), random),
                id -> directory.find(id).ifPresent(Upstream::markLeaving),
                upstreamCheck,
                upstreamLimits,
                streamOrigins,
                streamVersions,
                new FollowedEntryAge(follower, runtime.clock()),
                account -> usage.add(account, siteEpochMillis()),
                use -> gossipSender.onUse(use, runtime.clock().monotonicMillis()),
                responseBuffers,
                this::nodeCount,
                settings.domain(),
                metrics,
                runtime.log(),
                random);
    }

    /** Discards what this node holds by acknowledgements that a restored store may have lost. */
    private void onStoreRestored(long formerEra) {
        runtime.log()
                .event("store.restored")
                .with("formerEra", formerEra)
                .with("era", store.era().current())
                .write();
        fleetController.ifPresent(
                controller -> controller.onStoreRestored(runtime.clock().monotonicMillis()));
        follower.onStoreRestored();
        dutyDriver.onStoreRestored();
        registration.onStoreRestored();
        usageReportDriver.ifPresent(driver -> driver.onStoreRestored(siteEpochMillis()));
    }

    /** Applies what was read from the store, before requests are placed by it. */
    private void onSiteRead() {
        announcedStages.apply(runtime.clock().monotonicMillis());
        // The software versions of the upstreams are recorded before streams begin at them.
        streamVersions.update(
                directory.versions(),
                dutyDriver.authority(usageDuty).isPresent(),
                runtime.clock().monotonicMillis());
    }

    private Optional<ServedService> service(ServiceId id) {
        return follower.config().map(config -> config.services().get(id));
    }

    private long kvCapacityTokens(ServiceId id) {
        return service(id)
                .flatMap(ServedService::engine)
                .map(engine -> engine.kvCapacityTokens())
                .orElse(DEFAULT_KV_CAPACITY_TOKENS);
    }

    private WindowedRetryBudget retryBudget(ServiceId service) {
        return retryBudgetByService.computeIfAbsent(
                service,
                id -> WindowedRetryBudget.create(
                        retries.ratio(), retries.fixedPart(), retries.windowMillis(), startedAtMillis));
    }

    private CallerLimits limits() {
        return follower.config().map(ServingConfig::limits).orElse(CallerLimits.DEFAULT);
    }

    private int nodeCount() {
        return Math.max(registration.peerAddressByNode().size(), gossipReceiver.livePeerCount() + 1);
    }

    private long siteEpochMillis() {
        return siteClock.epochMillis(
                runtime.clock().epochMillis(), runtime.clock().monotonicMillis());
    }

    private static String addressText(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private byte[] metricsText() {
        long now = runtime.clock().monotonicMillis();
        metrics.onCrashSuspects(
                crashHistory.suspectCount(), crashHistory.refused(now).size());
        metrics.onLimitedUpstreams(upstreamLimits.limitedCount());
        metrics.onUnreachableServices(reachability.unreachableServices().size());
        metrics.onBuffers(responseBuffers.bytes(), callerMemory);
        metrics.onStoreEra(store.era().current());
        metrics.onLivePeers(gossipReceiver.livePeerCount());
        return metrics.toText();
    }

    private boolean isReady() {
        return follower.isReady() && !stopping;
    }

    /**
     * Starts the node: listens for callers, readiness checks and peers, follows the store and takes part in gossip and
     * duties.
     *
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    public void start() throws InterruptedException {
        callerServer.listen(settings.callerAddress());
        statusServers.listen(settings.readinessAddress(), settings.metricsAddress());
        // Datagrams and passed requests of peers arrive at the same address.
        peerServer.listen(settings.peerAddress());
        gossipChannel.bind(
                settings.peerAddress(),
                (message, sender) -> gossipReceiver.onMessage(
                        message, addressText(sender), runtime.clock().monotonicMillis()),
                streamOrigins::onMessage,
                changes -> {
                    sharedReads.onTold(runtime.clock().monotonicMillis());
                    follower.onTold(changes);
                });
        eventLoop.execute(() -> {
            store.era().setRiseListener(this::onStoreRestored);
            follower.setReadListener(this::onSiteRead);
            follower.shareReads(
                    sharedReads::rank,
                    changes -> sharedReads.tell(changes, runtime.clock().monotonicMillis()));
            follower.start();
            PerformanceMonitor.start(directory, runtime.clock(), runtime.log(), metrics.registry(), eventLoop);
            eventLoop.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
        });
        runtime.log()
                .event("node.started")
                .with("incarnation", incarnation.value())
                .with("domain", settings.domain().value())
                .with("callers", settings.callerAddress())
                .write();
    }

    /**
     * Applies settings that were read again. The ratio and the fixed part of the retry budgets take effect at once, a
     * new window only for services without requests so far. Everything else takes effect with the next start.
     *
     * @param changed the new settings
     */
    public void reload(NodeSettings changed) {
        eventLoop.execute(() -> {
            retries = changed.retries();
            retryBudgetByService
                    .values()
                    .forEach(retryBudget -> retryBudget.setLimits(retries.ratio(), retries.fixedPart()));
        });
    }

    /**
     * Returns the port on which callers are served.
     *
     * @return the port
     */
    public int callersPort() {
        return callerServer.port();
    }

    /**
     * Returns the port on which readiness checks are answered.
     *
     * @return the port
     */
    public int readinessPort() {
        return statusServers.readinessPort();
    }

    /**
     * Returns the port on which metrics are served.
     *
     * @return the port
     */
    public int metricsPort() {
        return statusServers.metricsPort();
    }

    private void tick() {
        long now = runtime.clock().monotonicMillis();
        directory.expire(now);
        crashHistory.expire(now);
        upstreamLimits.expire(directory::lists, now);
        streamOrigins.expire(now);
        gossipReceiver.expirePeers(PEER_TIMEOUT_ROUNDS * gossipSender.ticksPerRound() * TICK_MILLIS, now);
        upstreamCheck.probeUnreachableServices(now);
        callerServer.closeExpired(now);
        peerServer.closeExpired(now);
        statusServers.closeExpired(now);
        runtime.pool().closeExpired(now);
        registration.tick(now);
        if (!stopping) {
            dutyDriver.tick(Set.of(usageDuty, fleetDuty), registration.nodeIds());
        }
        dutyDriver
                .holder(usageDuty)
                .map(held -> new UsageCollector(
                        held.holder().instance(), held.holder().peerAddress(), held.fencingNumber()))
                .ifPresent(gossipReceiver::onCollector);
        usageReportDriver.ifPresent(driver ->
                driver.tick(dutyDriver.authority(usageDuty), gossipSender.usagePeriodMillis(), siteEpochMillis()));
        fleetController.ifPresent(controller -> controller.tick(dutyDriver.authority(fleetDuty), now));
        Map<InstanceId, InetSocketAddress> peerAddresses = peerAddressByNode();
        streamOrigins.setNodes(peerAddresses);
        quotas.tick(registration.peerAddressByNode());
        if (follower.isReady()) {
            upstreamLimits.setNodes(peerAddresses.keySet(), now);
            Map<InstanceId, Set<ServiceId>> unreachable = gossipReceiver.unreachableServices();
            unreachable.put(settings.instance(), reachability.unreachableServices());
            upstreamLimits.setUnreachableServices(unreachable, now);
        }
        gossipSender.tick(peerAddresses, gossipReceiver, runtime.clock().epochMillis(), now);
    }

    /**
     * Returns the peer addresses of the nodes that are registered in the store or known from gossip, this one included
     * if it is registered; a node that is isolated from the store is known from gossip only.
     */
    private Map<InstanceId, InetSocketAddress> peerAddressByNode() {
        Map<InstanceId, InetSocketAddress> addresses = new HashMap<>(registration.peerAddressByNode());
        gossipReceiver
                .collector()
                .ifPresent(collector -> addPeer(addresses, collector.node(), collector.peerAddress()));
        gossipReceiver.peerAddresses().forEach((node, address) -> addPeer(addresses, node, address));
        return addresses;
    }

    private static void addPeer(Map<InstanceId, InetSocketAddress> peers, InstanceId node, String addressText) {
        NodeRegistration.parseAddress(addressText).ifPresent(address -> peers.putIfAbsent(node, address));
    }

    /**
     * Stops without interrupting a request: fails the readiness checks, so that the load balancer sends no new callers,
     * asks the connected ones to close, and returns when no caller is connected or the grace time is nearly over.
     * Blocks, so it must not be called on the event loop.
     *
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    public void stop() throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        eventLoop.execute(() -> {
            stopping = true;
            stopRequestedAtMillis = runtime.clock().monotonicMillis();
            callerServer.startDraining();
            peerServer.startDraining();
            dutyDriver.stop();
            registration.stop();
            runtime.log()
                    .event("node.stopping")
                    .with("openRequests", callerServer.openRequestCount())
                    .with("openPeerRequests", peerServer.openRequestCount())
                    .write();
            eventLoop.scheduleAtFixedRate(
                    () -> closeIdleAndCheckDrained(done), TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
        });
        done.await(settings.timing().graceMillis() - PROCESS_EXIT_MILLIS, TimeUnit.MILLISECONDS);
        runtime.log()
                .event("node.stopped")
                .with("openRequests", callerServer.openRequestCount())
                .write();
        runtime.close();
    }

    private void closeIdleAndCheckDrained(CountDownLatch done) {
        long now = runtime.clock().monotonicMillis();
        if (now - stopRequestedAtMillis < BALANCER_REACTION_MILLIS) {
            return;
        }
        // A connection that is accepted while the process exits would be lost with its request; the last one accepted
        // is counted by the next check.
        boolean wasListening = callerServer.close() | peerServer.close();
        callerServer.closeIdle(now, TICK_MILLIS);
        peerServer.closeIdle(now, TICK_MILLIS);
        if (!wasListening && callerServer.isUnused() && peerServer.isUnused()) {
            done.countDown();
        }
    }
}
