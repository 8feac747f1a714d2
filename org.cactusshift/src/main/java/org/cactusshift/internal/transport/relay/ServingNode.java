package org.cactusshift.internal.transport.relay;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.SiteId;
import org.cactusshift.internal.coordination.lease.DutyHolder;
import org.cactusshift.internal.coordination.lease.DutyId;
import org.cactusshift.internal.coordination.lease.LeaseTiming;
import org.cactusshift.internal.coordination.quarantine.Quarantine;
import org.cactusshift.internal.coordination.serving.CallerLimits;
import org.cactusshift.internal.coordination.serving.CrashDetector;
import org.cactusshift.internal.coordination.serving.GossipReceiver;
import org.cactusshift.internal.coordination.serving.LatencyEstimator;
import org.cactusshift.internal.coordination.serving.Placer;
import org.cactusshift.internal.coordination.serving.ServedService;
import org.cactusshift.internal.coordination.serving.ServingConfig;
import org.cactusshift.internal.coordination.serving.SiteClock;
import org.cactusshift.internal.coordination.serving.UpstreamDirectory;
import org.cactusshift.internal.coordination.serving.UsageCollector;
import org.cactusshift.internal.coordination.serving.UsageCounts;
import org.cactusshift.internal.coordination.serving.WindowedRetryBudget;
import org.cactusshift.internal.coordination.store.AsyncKeyValueStore;

/** A node of the relay: serves callers, follows the store, tells its peers and does duties. */
public final class ServingNode {
    private static final long TICK_MILLIS = 250;

    /** A node that told nothing in this many rounds counts as gone. */
    private static final int PEER_SILENT_ROUNDS = 6;

    /** An upstream whose entry lapsed while the store was away is kept for this part of the drain bound. */
    private static final double GRACE_PART = 0.4;

    /** A request that crashed several upstreams is refused for this long. */
    private static final long QUARANTINE_MILLIS = 120_000;

    /** The balancer sends no new callers after two questions without a good answer, a second apart. */
    private static final long BALANCER_MILLIS = 2_500;

    /** What is left of the grace for the process itself to end. */
    private static final long EXIT_MILLIS = 700;

    private static final SiteId SITE = SiteId.fromString("site");
    private static final String OWN_PREFIX = "/cactusshift/";
    private static final String USAGE_PREFIX = OWN_PREFIX + "usage/";
    private static final String PLAN_KEY = OWN_PREFIX + "fleet";
    private static final long MEGABYTE_TOKENS = 1L << 20;

    private final NodeRuntime runtime;
    private final NodeSettings settings;
    private NodeSettings.Retries retries;
    private final EventLoop eventLoop;
    private final DutyId usageDuty = DutyId.usage(0);
    private final DutyId fleetDuty = DutyId.upstreamOrders(FailureDomainId.fromString("all"));
    private final IncarnationId incarnation =
            IncarnationId.fromString(UUID.randomUUID().toString().substring(0, 13));
    private final Map<ServiceId, WindowedRetryBudget> allowances = new HashMap<>();
    private final RelayMetrics metrics = new RelayMetrics();
    private final SiteClock sharedClock = new SiteClock();
    private final Quarantine quarantine = Quarantine.create(QUARANTINE_MILLIS);
    private final UsageCounts usage;
    private final UpstreamDirectory directory;
    private final SiteStateFollower follower;
    private final GossipReceiver board;
    private final PeerDatagramChannel link;
    private final NodeRegistration registration;
    private final DutyDriver duties;
    private final Optional<UsageReportDriver> usageReports;
    private final Optional<FleetController> fleet;
    private final GossipSender bulletins;
    private final CallerServer callers;
    private final CallerServer readiness;
    private final CallerServer metricsPage;
    private final long startedAtMillis;
    private boolean stopping;
    private long stoppedAtMillis;

    /**
     * What a site's protocol provides.
     *
     * @param codec headers of requests and answers
     * @param decoder values in the store
     * @param store the store
     * @param usageReportClient usage reports, empty when the site takes none
     * @param fleetOrderClient orders for engines, empty when the site's fleet is fixed
     * @param readinessPath the path of the balancer's question
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
        this.usage = UsageCounts.create(settings.timing().usageWindowMillis());
        this.directory = UpstreamDirectory.create(
                this::kvCapacityTokens,
                Math.round(GRACE_PART * settings.timing().drainMillis()));
        CrashDetector witness = CrashDetector.create(quarantine);
        this.follower = SiteStateFollower.create(
                new SiteStateFollower.Dependencies(
                        protocol.store(),
                        protocol.decoder(),
                        directory,
                        witness,
                        eventLoop,
                        runtime.clock(),
                        runtime.log(),
                        metrics),
                OWN_PREFIX,
                Math.min(settings.timing().configMillis(), settings.timing().drainMillis()));
        this.board = GossipReceiver.create(directory, sharedClock, usage, quarantine);
        this.link = PeerDatagramChannel.create(runtime.group(), runtime.log());
        DutyHolder self = new DutyHolder(settings.instance(), incarnation, addressText(settings.peers()), 0);
        this.registration =
                NodeRegistration.create(self, OWN_PREFIX, protocol.store(), follower, runtime.clock(), runtime.log());
        this.duties = DutyDriver.create(
                self,
                LeaseTiming.ofTtl(settings.timing().leaseMillis()),
                SITE,
                protocol.store(),
                follower,
                runtime.clock(),
                runtime.log());
        this.usageReports = protocol.usageReportClient()
                .map(calls -> UsageReportDriver.create(
                        usage, calls, protocol.store(), follower, settings.instance(), USAGE_PREFIX, runtime.log()));
        this.fleet = protocol.fleetOrderClient()
                .map(calls -> FleetController.create(
                        calls, protocol.store(), follower, directory, settings.instance(), PLAN_KEY, runtime.log()));
        this.bulletins = GossipSender.create(self, link, directory, usage, quarantine, TICK_MILLIS);
        this.callers = CallerServer.create(
                runtime.group(),
                runtime.clock(),
                this::limits,
                Relay.create(context(protocol, witness), follower::config),
                runtime.log());
        this.readiness = page(protocol.readinessPath(), this::answerReadiness);
        this.metricsPage = page("/metrics", this::answerMetrics);
    }

    /**
     * Returns a node that is not started.
     *
     * @param runtime the event loop and what runs on it
     * @param settings the settings
     * @param protocol the site's protocol
     * @return the node
     */
    public static ServingNode create(NodeRuntime runtime, NodeSettings settings, Protocol protocol) {
        return new ServingNode(runtime, settings, protocol);
    }

    private RelayContext context(Protocol protocol, CrashDetector witness) {
        SplittableRandom random = new SplittableRandom();
        LatencyEstimator speed = new LatencyEstimator();
        return new RelayContext(
                eventLoop,
                runtime.clock(),
                protocol.codec(),
                runtime.pool(),
                Placer.create(directory, this::service, speed, random),
                speed,
                this::allowance,
                quarantine,
                witness,
                account -> usage.add(account, unixMillis()),
                use -> bulletins.onUse(use, runtime.clock().monotonicMillis()),
                this::nodes,
                settings.domain(),
                metrics,
                runtime.log(),
                random);
    }

    private Optional<ServedService> service(ServiceId id) {
        return follower.config().map(config -> config.services().get(id));
    }

    private long kvCapacityTokens(ServiceId id) {
        return service(id)
                .flatMap(ServedService::engine)
                .map(engine -> engine.kvCapacityTokens())
                .orElse(MEGABYTE_TOKENS);
    }

    private WindowedRetryBudget allowance(ServiceId service) {
        return allowances.computeIfAbsent(
                service,
                id -> WindowedRetryBudget.create(
                        retries.ratio(), retries.extra(), retries.windowMillis(), startedAtMillis));
    }

    private CallerLimits limits() {
        return follower.config().map(ServingConfig::limits).orElse(CallerLimits.DEFAULT);
    }

    private int nodes() {
        return Math.max(registration.members().size(), board.livePeerCount() + 1);
    }

    private long unixMillis() {
        return sharedClock.epochMillis(
                runtime.clock().epochMillis(), runtime.clock().monotonicMillis());
    }

    private static String addressText(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private CallerServer page(String path, CallerRequestHandler handler) {
        CallerRequestHandler onPath = exchange -> {
            if (exchange.request().uri().equals(path)) {
                handler.onRequest(exchange);
            } else {
                exchange.answer(HttpResponseStatus.NOT_FOUND, new DefaultHttpHeaders(), new byte[0]);
            }
        };
        return CallerServer.create(runtime.group(), runtime.clock(), () -> CallerLimits.DEFAULT, onPath, runtime.log());
    }

    private void answerReadiness(CallerExchange exchange) {
        HttpResponseStatus status = isReady() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
        exchange.answer(status, new DefaultHttpHeaders(), new byte[0]);
    }

    private void answerMetrics(CallerExchange exchange) {
        DefaultHttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain; version=0.0.4; charset=utf-8");
        exchange.answer(HttpResponseStatus.OK, headers, metrics.toText());
    }

    private boolean isReady() {
        return follower.isReady() && !stopping;
    }

    /**
     * Starts to listen and to follow the store.
     *
     * @throws InterruptedException if the thread is interrupted meanwhile
     */
    public void start() throws InterruptedException {
        callers.listen(settings.callers());
        readiness.listen(settings.readiness());
        metricsPage.listen(settings.metrics());
        link.bind(
                settings.peers(),
                (bulletin, sender) -> board.onMessage(
                        bulletin, addressText(sender), runtime.clock().monotonicMillis()));
        eventLoop.execute(() -> {
            follower.start();
            eventLoop.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
        });
        runtime.log()
                .event("node.started")
                .with("incarnation", incarnation.value())
                .with("domain", settings.domain().value())
                .with("callers", settings.callers())
                .write();
    }

    /**
     * Takes settings that were read again. The limits of repeats apply at once; addresses and periods apply from the
     * next start.
     *
     * @param changed the settings
     */
    public void reload(NodeSettings changed) {
        eventLoop.execute(() -> {
            retries = changed.retries();
            allowances.values().forEach(allowance -> allowance.setLimits(retries.ratio(), retries.extra()));
        });
    }

    /**
     * Returns the port on which callers connect.
     *
     * @return the port
     */
    public int callersPort() {
        return callers.port();
    }

    /**
     * Returns the port on which the balancer asks.
     *
     * @return the port
     */
    public int readinessPort() {
        return readiness.port();
    }

    /**
     * Returns the port on which metrics are served.
     *
     * @return the port
     */
    public int metricsPort() {
        return metricsPage.port();
    }

    private void tick() {
        long now = runtime.clock().monotonicMillis();
        directory.expire(now);
        quarantine.expire(now);
        board.refresh(PEER_SILENT_ROUNDS * bulletins.ticksPerRound() * TICK_MILLIS, now);
        callers.sweep(now);
        readiness.sweep(now);
        metricsPage.sweep(now);
        runtime.pool().sweep(now);
        registration.tick(now);
        if (!stopping) {
            duties.tick(Set.of(usageDuty, fleetDuty), registration.memberIds());
        }
        duties.holder(usageDuty)
                .map(held -> new UsageCollector(
                        held.holder().instance(), held.holder().peerAddress(), held.fencingNumber()))
                .ifPresent(board::onCollector);
        usageReports.ifPresent(
                reports -> reports.tick(duties.authority(usageDuty), bulletins.usageMillis(), unixMillis()));
        fleet.ifPresent(orders -> orders.tick(duties.authority(fleetDuty), now));
        bulletins.tick(peers(), board, runtime.clock().epochMillis(), now);
    }

    /** Returns the nodes that are registered or heard; one that is cut off from the store is only heard. */
    private Map<InstanceId, InetSocketAddress> peers() {
        Map<InstanceId, InetSocketAddress> peers = new HashMap<>(registration.members());
        board.collector().ifPresent(collector -> addPeer(peers, collector.node(), collector.peerAddress()));
        board.peerAddresses().forEach((node, address) -> addPeer(peers, node, address));
        return peers;
    }

    private static void addPeer(Map<InstanceId, InetSocketAddress> peers, InstanceId node, String addressText) {
        NodeRegistration.address(addressText).ifPresent(address -> peers.putIfAbsent(node, address));
    }

    /**
     * Stops without cutting a request: takes no new callers, tells the others to close, and ends when all is answered
     * or the grace is nearly over.
     *
     * @throws InterruptedException if the thread is interrupted meanwhile
     */
    public void stop() throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        eventLoop.execute(() -> {
            stopping = true;
            stoppedAtMillis = runtime.clock().monotonicMillis();
            callers.startDraining();
            duties.stop();
            registration.stop();
            runtime.log()
                    .event("node.stopping")
                    .with("openRequests", callers.openRequests())
                    .write();
            eventLoop.scheduleAtFixedRate(() -> drain(done), TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
        });
        done.await(settings.timing().graceMillis() - EXIT_MILLIS, TimeUnit.MILLISECONDS);
        runtime.log()
                .event("node.stopped")
                .with("openRequests", callers.openRequests())
                .write();
        runtime.close();
    }

    private void drain(CountDownLatch done) {
        long now = runtime.clock().monotonicMillis();
        if (now - stoppedAtMillis < BALANCER_MILLIS) {
            return;
        }
        callers.closeQuiet(now, TICK_MILLIS);
        if (callers.openRequests() == 0 && callers.connections() == 0) {
            done.countDown();
        }
    }
}
