package org.cactusshift.standin.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.standin.DaemonThreads;
import org.cactusshift.standin.OrderingSettings;
import org.cactusshift.standin.ReceivedRequestsPage;
import org.cactusshift.standin.StandIn;
import org.cactusshift.standin.StandInInstanceList;
import org.cactusshift.standin.StandInKeyValueService;
import org.cactusshift.standin.StandInOrderingService;
import org.cactusshift.standin.StandInPlainService;
import org.cactusshift.standin.StandInUsageService;
import org.cactusshift.standin.StandInWeightStore;
import org.cactusshift.standin.engine.StandInEngine;

/**
 * Stand-ins for the systems that the nodes of one site use: the key-value store, the upstreams, the instance list, and
 * the ordering, usage and weight services.
 */
public final class StandInPlatform implements AutoCloseable {
    private final PlatformSettings settings;

    private final StandInKeyValueService keyValueService;

    private final StandInUsageService usageService = StandInUsageService.create(0);

    private final StandInInstanceList instanceList;

    private final StandInWeightStore weightStore;

    private final ReceivedRequestsPage receivedRequestsPage = ReceivedRequestsPage.create(0, this::upstreams);

    private final ScheduledExecutorService timer =
            Executors.newSingleThreadScheduledExecutor(DaemonThreads.named("stand-in-platform"));

    private StandInFleet fleet;

    private StandInOrderingService orderingService;

    private StandInPlatform(PlatformSettings settings) {
        this.settings = settings;
        this.keyValueService = StandInKeyValueService.create(settings.keyValue());
        this.instanceList = StandInInstanceList.create(0, settings.instanceListLagMillis());
        this.weightStore = StandInWeightStore.create(0, settings.weightLoadsPerSecond());
    }

    /**
     * Creates a platform, whose stand-ins listen once it is started.
     *
     * @param settings the settings
     * @return the platform
     */
    public static StandInPlatform create(PlatformSettings settings) {
        return new StandInPlatform(settings);
    }

    /**
     * Starts all stand-ins.
     *
     * @throws IOException if a port can't be opened
     */
    public void start() throws IOException {
        keyValueService.start();
        usageService.start();
        instanceList.start();
        weightStore.start();
        fleet = new StandInFleet(settings, instanceList, weightStore.address());
        orderingService = StandInOrderingService.create(
                new OrderingSettings(0, settings.provisionMillis(), settings.capacityPerFailureDomain()), fleet);
        orderingService.start();
        for (UpstreamSpec spec : settings.upstreams()) {
            fleet.start(spec);
        }
        receivedRequestsPage.start();
    }

    /**
     * Starts another upstream. Must be called after {@link #start()}.
     *
     * @param spec the upstream
     * @return the stand-in
     * @throws IOException if its port can't be opened
     */
    public StandIn startUpstream(UpstreamSpec spec) throws IOException {
        return fleet.start(spec);
    }

    /**
     * Announces that the reclaimable upstreams of a failure domain will be stopped, and stops them after a notice. Must
     * be called after {@link #start()}.
     *
     * @param failureDomain the failure domain
     * @param noticeMillis the time from marking them as leaving to stopping them, in milliseconds
     * @return the ids of the announced upstreams
     */
    public List<String> reclaim(String failureDomain, long noticeMillis) {
        List<String> reclaimed = fleet.announceReclaim(failureDomain);
        timer.schedule(() -> reclaimed.forEach(fleet::release), noticeMillis, TimeUnit.MILLISECONDS);
        return reclaimed;
    }

    /**
     * Returns all upstreams that were ever started, including ordered ones. Must be called after {@link #start()}.
     *
     * @return the stand-ins by upstream id
     */
    public Map<String, StandIn> upstreams() {
        return fleet.upstreams();
    }

    /**
     * Returns an engine.
     *
     * @param upstreamId the id of the engine
     * @return the engine; null if there is no upstream with that id
     * @throws ClassCastException if the upstream is not an engine
     */
    public StandInEngine engine(String upstreamId) {
        return (StandInEngine) upstreams().get(upstreamId);
    }

    /**
     * Returns all engines.
     *
     * @return the engines
     */
    public List<StandInEngine> engines() {
        List<StandInEngine> engines = new ArrayList<>();
        for (StandIn upstream : upstreams().values()) {
            if (upstream instanceof StandInEngine engine) {
                engines.add(engine);
            }
        }
        return engines;
    }

    /**
     * Returns all instances of plain services.
     *
     * @return the instances
     */
    public List<StandInPlainService> plainInstances() {
        List<StandInPlainService> services = new ArrayList<>();
        for (StandIn upstream : upstreams().values()) {
            if (upstream instanceof StandInPlainService service) {
                services.add(service);
            }
        }
        return services;
    }

    /**
     * Returns a configuration in which each upstream has the address of its stand-in.
     *
     * @param site the configuration from which the settings were made
     * @return the configuration
     */
    public SiteConfig withStandInAddresses(SiteConfig site) {
        Map<String, StandIn> upstreams = upstreams();
        List<UpstreamConfig> upstreamsWithAddresses = site.upstreams().stream()
                .map(upstream -> withAddress(
                        upstream, upstreams.get(upstream.id().value()).address()))
                .toList();
        return new SiteConfig(
                site.schemaVersion(),
                site.site(),
                site.shutdownDate(),
                site.failureDomains(),
                site.accounts(),
                site.services(),
                upstreamsWithAddresses,
                site.limits(),
                site.timing());
    }

    /**
     * Returns the key-value store.
     *
     * @return the stand-in
     */
    public StandInKeyValueService keyValueService() {
        return keyValueService;
    }

    /**
     * Returns the service at which upstreams are ordered.
     *
     * @return the stand-in; null before {@link #start()}
     */
    public StandInOrderingService orderingService() {
        return orderingService;
    }

    /**
     * Returns the service that accepts usage reports.
     *
     * @return the stand-in
     */
    public StandInUsageService usageService() {
        return usageService;
    }

    /**
     * Returns the list of instances, to which the test adds the instances with nodes.
     *
     * @return the stand-in
     */
    public StandInInstanceList instanceList() {
        return instanceList;
    }

    /**
     * Returns the weight store.
     *
     * @return the stand-in
     */
    public StandInWeightStore weightStore() {
        return weightStore;
    }

    /**
     * Returns the page that lists the requests that upstreams received.
     *
     * @return the stand-in
     */
    public ReceivedRequestsPage receivedRequestsPage() {
        return receivedRequestsPage;
    }

    /** Stops all stand-ins. */
    @Override
    public void close() {
        timer.shutdownNow();
        receivedRequestsPage.close();
        if (orderingService != null) {
            orderingService.close();
        }
        if (fleet != null) {
            fleet.close();
        }
        weightStore.close();
        instanceList.close();
        usageService.close();
        keyValueService.close();
    }

    private static UpstreamConfig withAddress(UpstreamConfig upstream, String address) {
        return new UpstreamConfig(
                upstream.id(),
                upstream.service(),
                upstream.failureDomain(),
                address,
                upstream.role(),
                upstream.reclaimable(),
                upstream.checksFencing(),
                upstream.draining(),
                upstream.pricePerHour(),
                upstream.memoryPieces());
    }
}
