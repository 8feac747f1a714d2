package org.cactusshift.internal.coordination.dispatch;

import java.util.ArrayList;
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
import org.cactusshift.internal.coordination.quarantine.CompletionReport;
import org.cactusshift.internal.coordination.quarantine.CrashReport;
import org.cactusshift.internal.coordination.quarantine.CrashReports;
import org.cactusshift.internal.coordination.quarantine.CrashSuspectReport;
import org.cactusshift.internal.coordination.routing.PrefixIndex;
import org.cactusshift.internal.state.summary.AccountServicePair;
import org.cactusshift.internal.state.summary.ServedTotals;

/**
 * Runs one {@link Dispatcher} for each service of the configuration, each under its own lock, calls its timer, and
 * delivers its decisions to the tickets of the requests. Thread-safe.
 */
public final class DispatchService implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(DispatchService.class.getName());
    private static final long TICK_MILLIS = 20;

    /** Creates the dispatcher of a service. */
    @FunctionalInterface
    public interface DispatcherFactory {
        /**
         * Creates a dispatcher without accounts and upstreams.
         *
         * @param service the service
         * @param site the active configuration
         * @return the dispatcher
         */
        Dispatcher create(ServiceConfig service, SiteConfig site);
    }

    private final DispatcherFactory factory;
    private final LongSupplier clockMillis;
    private final Map<ServiceId, SynchronizedDispatcher> dispatcherByService = new ConcurrentHashMap<>();
    /** The dispatchers of removed services with open requests, whose deadlines must still be enforced. */
    private final Set<SynchronizedDispatcher> retiredDispatchers = ConcurrentHashMap.newKeySet();

    private final ScheduledFuture<?> ticker;
    private volatile long installedVersion;

    private DispatchService(DispatcherFactory factory, LongSupplier clockMillis, ScheduledExecutorService scheduler) {
        this.factory = factory;
        this.clockMillis = clockMillis;
        this.ticker = scheduler.scheduleWithFixedDelay(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Creates the dispatch service; it dispatches nothing until a configuration is installed.
     *
     * @param factory creates the dispatchers
     * @param clockMillis a monotonic clock, in milliseconds
     * @param scheduler runs the timer
     * @return the dispatch service
     */
    public static DispatchService create(
            DispatcherFactory factory, LongSupplier clockMillis, ScheduledExecutorService scheduler) {
        return new DispatchService(factory, clockMillis, scheduler);
    }

    /**
     * Installs a configuration: new services get a dispatcher, removed ones accept no new requests.
     *
     * @param installed the configuration
     */
    public synchronized void install(VersionedConfig installed) {
        SiteConfig site = installed.config();
        for (ServiceConfig service : site.services()) {
            SynchronizedDispatcher dispatcher = dispatcherByService.computeIfAbsent(
                    service.id(), id -> new SynchronizedDispatcher(factory.create(service, site), clockMillis));
            List<UpstreamConfig> upstreams = site.upstreams().stream()
                    .filter(upstream -> upstream.service().equals(service.id()))
                    .collect(Collectors.toList());
            dispatcher.install(site.accounts(), upstreams);
        }
        Set<ServiceId> declared =
                site.services().stream().map(ServiceConfig::id).collect(Collectors.toSet());
        for (ServiceId id : List.copyOf(dispatcherByService.keySet())) {
            if (!declared.contains(id)) {
                SynchronizedDispatcher dispatcher = dispatcherByService.remove(id);
                dispatcher.install(site.accounts(), List.of());
                retiredDispatchers.add(dispatcher);
            }
        }
        installedVersion = installed.version();
    }

    /**
     * Returns the version of the configuration whose services have dispatchers.
     *
     * @return the version; 0 before the first configuration was installed
     */
    public long installedVersion() {
        return installedVersion;
    }

    /**
     * Submits a request.
     *
     * @param request the request
     * @return the ticket that receives the decisions, or empty when the service is not configured
     */
    public Optional<DispatchTicket> submit(DispatchRequest request) {
        return Optional.ofNullable(dispatcherByService.get(request.service()))
                .map(dispatcher -> dispatcher.submit(request));
    }

    /**
     * Records a load report of an upstream.
     *
     * @param service the service of the upstream
     * @param upstream the upstream
     * @param load the report
     */
    public void onLoad(ServiceId service, UpstreamId upstream, EngineLoad load) {
        dispatcherOf(service).ifPresent(dispatcher -> dispatcher.onLoad(upstream, load));
    }

    /**
     * Sets or clears one cause of exclusion of an upstream. An upstream receives new requests only while no cause is
     * set.
     *
     * @param service the service of the upstream
     * @param upstream the upstream
     * @param cause the cause
     * @param excluded whether the cause applies now
     */
    public void setExcluded(ServiceId service, UpstreamId upstream, ExclusionCause cause, boolean excluded) {
        dispatcherOf(service).ifPresent(dispatcher -> dispatcher.setExcluded(upstream, cause, excluded));
    }

    /**
     * Records the tokens that other nodes served to an account since the last call, and their open requests now.
     *
     * @param service the service
     * @param account the account
     * @param prefillTokens prompt tokens
     * @param decodeTokens output tokens
     * @param openRequests open requests at other nodes, queued or in flight
     */
    public void onRemoteServedTokens(
            ServiceId service, AccountId account, long prefillTokens, long decodeTokens, int openRequests) {
        dispatcherOf(service)
                .ifPresent(dispatcher ->
                        dispatcher.onRemoteServedTokens(account, prefillTokens, decodeTokens, openRequests));
    }

    /**
     * Records the crashes that other nodes counted for a fingerprint, at every service, because the report names none.
     *
     * @param fingerprint the fingerprint
     * @param crashes the crashes counted by all other nodes together
     */
    public void onRemoteCrashSuspect(long fingerprint, int crashes) {
        dispatcherByService.values().forEach(dispatcher -> dispatcher.onRemoteCrashSuspect(fingerprint, crashes));
    }

    /**
     * Records what another node reports of prompt parts and the crashes of upstreams, at every service, because the
     * reports name none.
     *
     * @param reports the reports
     */
    public void onRemotePartReports(CrashReports reports) {
        dispatcherByService.values().forEach(dispatcher -> dispatcher.onRemotePartReports(reports));
    }

    /**
     * Returns the number of open attempts of this node at an upstream, for the acknowledgement of a drain.
     *
     * @param service the service of the upstream
     * @param upstream the upstream
     * @return the attempts that were dispatched and have not ended
     */
    public int openAttempts(ServiceId service, UpstreamId upstream) {
        return dispatcherOf(service)
                .map(dispatcher -> dispatcher.openAttempts(upstream))
                .orElse(0);
    }

    /**
     * Returns the number of requests of this node that are queued or in flight.
     *
     * @return the open requests of all configured services
     */
    public int openRequests() {
        return dispatcherByService.values().stream()
                .mapToInt(SynchronizedDispatcher::openRequests)
                .sum();
    }

    /**
     * Sets the index of this node among the live nodes, ordered by their ids.
     *
     * @param index the index, from 0
     * @param nodes the number of live nodes, this one included
     */
    public void onLiveNodes(int index, int nodes) {
        dispatcherByService.values().forEach(dispatcher -> dispatcher.onLiveNodes(index, nodes));
    }

    /**
     * Records KV-cache events of an engine.
     *
     * @param service the service of the engine
     * @param upstream the engine
     * @param events the events; they may arrive late and with gaps
     */
    public void onCacheEvents(ServiceId service, UpstreamId upstream, List<PrefixIndex.Event> events) {
        dispatcherOf(service).ifPresent(dispatcher -> dispatcher.onCacheEvents(upstream, events));
    }

    /**
     * Returns the running totals of each account and configured service at this node, which are sent to other nodes.
     *
     * @return the totals since the services were installed
     */
    public Map<AccountServicePair, ServedTotals> accountTotals() {
        Map<AccountServicePair, ServedTotals> totals = new HashMap<>();
        dispatcherByService.forEach((service, dispatcher) -> dispatcher
                .accountTotals()
                .forEach(total -> totals.put(
                        new AccountServicePair(service, total.account()),
                        new ServedTotals(total.prefillTokens(), total.decodeTokens(), total.requestsInFlight()))));
        return totals;
    }

    /**
     * Returns the suspect fingerprints that this node observed itself, which are sent to other nodes.
     *
     * @return the crash suspects of all configured services
     */
    public List<CrashSuspectReport> crashSuspects() {
        return dispatcherByService.values().stream()
                .flatMap(dispatcher -> dispatcher.crashSuspects().stream())
                .toList();
    }

    /**
     * Returns what this node knows of prompt parts and the crashes of upstreams, which is sent to other nodes.
     *
     * @return the reports of all configured services
     */
    public CrashReports partReports() {
        List<CrashReport> crashes = new ArrayList<>();
        List<CompletionReport> completions = new ArrayList<>();
        for (SynchronizedDispatcher dispatcher : dispatcherByService.values()) {
            CrashReports reports = dispatcher.partReports();
            crashes.addAll(reports.crashes());
            completions.addAll(reports.completions());
        }
        return new CrashReports(crashes, completions);
    }

    /**
     * Returns the recorded decisions of the configured services about a request.
     *
     * @param request the request
     * @return the explanations, oldest first; empty when none is left in the decision log
     */
    public List<Explanation> explain(RequestId request) {
        return dispatcherByService.values().stream()
                .flatMap(dispatcher -> dispatcher.explanations().stream())
                .filter(explanation -> explanation.decision().request().equals(request))
                .toList();
    }

    private Optional<SynchronizedDispatcher> dispatcherOf(ServiceId service) {
        return Optional.ofNullable(dispatcherByService.get(service));
    }

    private void tick() {
        dispatcherByService.values().forEach(DispatchService::tick);
        retiredDispatchers.forEach(DispatchService::tick);
        retiredDispatchers.removeIf(dispatcher -> dispatcher.openRequests() == 0);
    }

    private static void tick(SynchronizedDispatcher dispatcher) {
        try {
            dispatcher.onTick();
        } catch (RuntimeException e) {
            // A fault in the dispatcher of one service must not stop the timer of the others.
            LOG.log(System.Logger.Level.ERROR, "dispatcher failed on its timer tick; the next tick follows", e);
        }
    }

    /** Stops the timer: from then on, the deadlines of open requests are not enforced. */
    @Override
    public void close() {
        ticker.cancel(false);
    }
}
