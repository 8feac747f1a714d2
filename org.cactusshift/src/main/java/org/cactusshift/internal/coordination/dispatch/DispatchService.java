package org.cactusshift.internal.coordination.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.cactusshift.config.ServiceConfig;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.RequestId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.configsync.VersionedConfig;
import org.cactusshift.internal.coordination.quarantine.SuspectReport;
import org.cactusshift.internal.coordination.routing.PrefixIndex;
import org.cactusshift.internal.state.summary.AccountServicePair;
import org.cactusshift.internal.state.summary.ServedTotals;

/**
 * Runs one {@link Dispatcher} for each service of the configuration, each under its own lock, lets time pass for it,
 * and hands its decisions to the requests that wait for them. Safe for use by several threads.
 */
public final class DispatchService implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(DispatchService.class.getName());
    private static final long TICK_MILLIS = 20;

    /** Makes the dispatcher of a service. */
    @FunctionalInterface
    public interface DispatcherFactory {
        /**
         * Creates a dispatcher that knows no accounts and upstreams yet.
         *
         * @param service the service
         * @param site the configuration in force
         * @return the dispatcher
         */
        Dispatcher create(ServiceConfig service, SiteConfig site);
    }

    private final DispatcherFactory factory;
    private final LongSupplier clockMillis;
    private final Map<ServiceId, DispatchShard> shards = new ConcurrentHashMap<>();
    /** Shards of removed services that still have open requests, whose deadlines must go on. */
    private final Set<DispatchShard> retired = ConcurrentHashMap.newKeySet();

    private final ScheduledFuture<?> ticker;

    private DispatchService(DispatcherFactory factory, LongSupplier clockMillis, ScheduledExecutorService scheduler) {
        this.factory = factory;
        this.clockMillis = clockMillis;
        this.ticker = scheduler.scheduleWithFixedDelay(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Creates the service; it knows no service until a configuration is installed.
     *
     * @param factory makes the dispatchers
     * @param clockMillis a monotonic clock, in milliseconds
     * @param scheduler runs the timer
     * @return the service
     */
    public static DispatchService create(
            DispatcherFactory factory, LongSupplier clockMillis, ScheduledExecutorService scheduler) {
        return new DispatchService(factory, clockMillis, scheduler);
    }

    /**
     * Installs a configuration: new services get a dispatcher, removed ones take no new requests.
     *
     * @param installed the configuration
     */
    public synchronized void install(VersionedConfig installed) {
        SiteConfig site = installed.config();
        for (ServiceConfig service : site.services()) {
            DispatchShard shard = shards.computeIfAbsent(
                    service.id(), id -> new DispatchShard(factory.create(service, site), clockMillis));
            List<UpstreamConfig> upstreams = site.upstreams().stream()
                    .filter(upstream -> upstream.service().equals(service.id()))
                    .collect(Collectors.toList());
            shard.install(site.accounts(), upstreams);
        }
        Set<ServiceId> declared =
                site.services().stream().map(ServiceConfig::id).collect(Collectors.toSet());
        for (ServiceId id : List.copyOf(shards.keySet())) {
            if (!declared.contains(id)) {
                DispatchShard shard = shards.remove(id);
                shard.install(site.accounts(), List.of());
                retired.add(shard);
            }
        }
    }

    /**
     * Submits a request.
     *
     * @param request the request
     * @return the ticket on which its decisions arrive, or empty when the service is not known
     */
    public Optional<DispatchTicket> submit(DispatchRequest request) {
        return Optional.ofNullable(shards.get(request.service())).map(shard -> shard.submit(request));
    }

    /**
     * Takes a load report of an upstream.
     *
     * @param service the service of the upstream
     * @param upstream the upstream
     * @param load the report
     */
    public void onLoad(ServiceId service, UpstreamId upstream, EngineLoad load) {
        shard(service).ifPresent(shard -> shard.onLoad(upstream, load));
    }

    /**
     * Sets or clears one cause for which an upstream takes no new work; it takes work while no cause is set.
     *
     * @param service the service of the upstream
     * @param upstream the upstream
     * @param cause the cause
     * @param leaving whether the cause holds now
     */
    public void setExcluded(ServiceId service, UpstreamId upstream, ExclusionCause cause, boolean leaving) {
        shard(service).ifPresent(shard -> shard.setExcluded(upstream, cause, leaving));
    }

    /**
     * Takes the service that an account received at other nodes since the last call.
     *
     * @param service the service
     * @param account the account
     * @param prefillTokens prompt tokens
     * @param decodeTokens output tokens
     * @param requestsInFlight requests now in flight at other nodes
     */
    public void onRemoteTotals(
            ServiceId service, AccountId account, long prefillTokens, long decodeTokens, int requestsInFlight) {
        shard(service)
                .ifPresent(shard -> shard.onRemoteService(account, prefillTokens, decodeTokens, requestsInFlight));
    }

    /**
     * Takes a crash-inducing fingerprint seen at another node; concerns every service.
     *
     * @param fingerprint the fingerprint
     * @param crashes crashes seen by all nodes together
     */
    public void onRemoteSuspect(long fingerprint, int crashes) {
        shards.values().forEach(shard -> shard.onRemoteSuspect(fingerprint, crashes));
    }

    /**
     * Returns how many attempts of this node are open on an upstream, for the acknowledgement of a drain.
     *
     * @param service the service of the upstream
     * @param upstream the upstream
     * @return the attempts that were dispatched and have not ended
     */
    public int openAttempts(ServiceId service, UpstreamId upstream) {
        return shard(service).map(shard -> shard.openAttempts(upstream)).orElse(0);
    }

    /**
     * Returns the requests that are queued or run at this node.
     *
     * @return the open requests of all services
     */
    public int openRequests() {
        return shards.values().stream().mapToInt(DispatchShard::openRequests).sum();
    }

    /**
     * Takes the place of this node among the live nodes in the order of their ids.
     *
     * @param index the place, from 0
     * @param nodes the number of live nodes, this one included
     */
    public void onLiveNodes(int index, int nodes) {
        shards.values().forEach(shard -> shard.onPeers(index, nodes));
    }

    /**
     * Takes cache events of an engine.
     *
     * @param service the service of the engine
     * @param upstream the engine
     * @param events the events, late and with gaps
     */
    public void onCacheEvents(ServiceId service, UpstreamId upstream, List<PrefixIndex.Event> events) {
        shard(service).ifPresent(shard -> shard.onCacheEvents(upstream, events));
    }

    /**
     * Returns what each account received of each service at this node, for other nodes.
     *
     * @return the totals since the services were installed
     */
    public Map<AccountServicePair, ServedTotals> accountTotals() {
        Map<AccountServicePair, ServedTotals> totals = new HashMap<>();
        shards.forEach((service, shard) -> shard.serviceSinceStart()
                .forEach(total -> totals.put(
                        new AccountServicePair(service, total.account()),
                        new ServedTotals(total.prefillTokens(), total.decodeTokens(), total.requestsInFlight()))));
        return totals;
    }

    /**
     * Returns the fingerprints that crashed upstreams at this node, for other nodes.
     *
     * @return the suspects of all services
     */
    public List<SuspectReport> suspects() {
        return shards.values().stream()
                .flatMap(shard -> shard.suspects().stream())
                .toList();
    }

    /**
     * Returns the last decisions about a request.
     *
     * @param request the request
     * @return the explanations, oldest first; empty when none are kept any more
     */
    public List<Explanation> explain(RequestId request) {
        return shards.values().stream()
                .flatMap(shard -> shard.explain().stream())
                .filter(explanation -> explanation.decision().request().equals(request))
                .toList();
    }

    private Optional<DispatchShard> shard(ServiceId service) {
        return Optional.ofNullable(shards.get(service));
    }

    private void tick() {
        shards.values().forEach(DispatchService::tick);
        retired.forEach(DispatchService::tick);
        retired.removeIf(shard -> shard.openRequests() == 0);
    }

    private static void tick(DispatchShard shard) {
        try {
            shard.onTick();
        } catch (RuntimeException e) {
            // A fault in one service's decisions must not stop the timer of the others.
            LOG.log(System.Logger.Level.ERROR, "a dispatcher failed on its timer", e);
        }
    }

    /** Stops the timer; open requests get no more decisions from it. */
    @Override
    public void close() {
        ticker.cancel(false);
    }
}
