package org.cactusshift.standin.platform;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.cactusshift.config.ServiceConfig.Kind;
import org.cactusshift.standin.InstanceEntry;
import org.cactusshift.standin.LaunchedUpstream;
import org.cactusshift.standin.StandIn;
import org.cactusshift.standin.StandInInstanceList;
import org.cactusshift.standin.StandInPlainService;
import org.cactusshift.standin.UpstreamLauncher;
import org.cactusshift.standin.engine.EngineSettings;
import org.cactusshift.standin.engine.StandInEngine;

/** Starts, lists, drains and stops the upstreams of a platform. Retains stopped upstreams for their logs. */
final class StandInFleet implements UpstreamLauncher {
    private final PlatformSettings settings;

    private final StandInInstanceList instanceList;

    private final Optional<String> weightStoreAddress;

    private final Map<String, StartedUpstream> upstreamsById = new LinkedHashMap<>();

    private final AtomicInteger lastOrderedNumber = new AtomicInteger();

    StandInFleet(PlatformSettings settings, StandInInstanceList instanceList, String weightStoreAddress) {
        this.settings = settings;
        this.instanceList = instanceList;
        this.weightStoreAddress = Optional.of(weightStoreAddress);
    }

    synchronized StandIn start(UpstreamSpec spec) throws IOException {
        if (upstreamsById.containsKey(spec.upstreamId())) {
            throw new IllegalArgumentException("an upstream with the id " + spec.upstreamId() + " exists already");
        }
        StandIn upstream = spec.kind() == Kind.MODEL ? createEngine(spec) : createPlainInstance();
        upstream.start();
        upstreamsById.put(spec.upstreamId(), new StartedUpstream(spec, upstream));
        instanceList.put(new InstanceEntry(
                spec.upstreamId(),
                InstanceEntry.Kind.UPSTREAM,
                upstream.address(),
                "",
                spec.failureDomain(),
                InstanceEntry.State.LIVE));
        return upstream;
    }

    @Override
    public LaunchedUpstream launch(String failureDomain, String service, boolean reclaimable) throws IOException {
        UpstreamSpec spec = specForOrder(service, failureDomain, reclaimable);
        return new LaunchedUpstream(spec.upstreamId(), start(spec).address());
    }

    @Override
    public synchronized void release(String upstreamId) {
        StartedUpstream started = upstreamsById.get(upstreamId);
        if (started != null) {
            started.upstream().close();
            instanceList.remove(upstreamId);
        }
    }

    /**
     * Marks the reclaimable upstreams of a failure domain as leaving, sets the engines among them to draining, and
     * returns the ids of these upstreams, including those that were stopped before.
     */
    synchronized List<String> announceReclaim(String failureDomain) {
        List<String> reclaimed = upstreamsById.values().stream()
                .map(StartedUpstream::spec)
                .filter(spec -> spec.reclaimable() && spec.failureDomain().equals(failureDomain))
                .map(UpstreamSpec::upstreamId)
                .toList();
        for (String upstreamId : reclaimed) {
            instanceList.markLeaving(upstreamId);
            if (upstreamsById.get(upstreamId).upstream() instanceof StandInEngine engine) {
                engine.setDraining(true);
            }
        }
        return reclaimed;
    }

    /** Returns the stand-ins by upstream id, including stopped ones. */
    synchronized Map<String, StandIn> upstreams() {
        Map<String, StandIn> upstreams = new LinkedHashMap<>();
        upstreamsById.forEach((upstreamId, started) -> upstreams.put(upstreamId, started.upstream()));
        return upstreams;
    }

    synchronized void close() {
        upstreamsById.values().forEach(started -> started.upstream().close());
    }

    private StandInEngine createEngine(UpstreamSpec spec) {
        return StandInEngine.create(EngineSettings.mixed(spec.upstreamId(), spec.service(), settings.engineTiming())
                .withRole(spec.role(), spec.memoryBlocks())
                .withFencing(spec.checksFencing())
                .withWeights(spec.version(), weightStoreAddress));
    }

    private StandInPlainService createPlainInstance() {
        return StandInPlainService.create(settings.plainService());
    }

    /** Returns the specification of an ordered upstream, copied from the first upstream of its service. */
    private synchronized UpstreamSpec specForOrder(String service, String failureDomain, boolean reclaimable)
            throws IOException {
        UpstreamSpec first = upstreamsById.values().stream()
                .map(StartedUpstream::spec)
                .filter(spec -> spec.service().equals(service))
                .findFirst()
                .orElseThrow(() -> new IOException("no upstream was started for service " + service));
        return new UpstreamSpec(
                service + "-ordered-" + lastOrderedNumber.incrementAndGet(),
                service,
                first.kind(),
                first.version(),
                failureDomain,
                first.role(),
                first.memoryBlocks(),
                reclaimable,
                first.checksFencing());
    }

    private record StartedUpstream(UpstreamSpec spec, StandIn upstream) {}
}
