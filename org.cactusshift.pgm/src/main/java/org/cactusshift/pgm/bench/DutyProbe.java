package org.cactusshift.pgm.bench;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.cactusshift.id.InstanceId;
import org.cactusshift.internal.coordination.lease.DutyId;
import org.cactusshift.internal.coordination.lease.DutyService;
import org.cactusshift.internal.coordination.lease.LeaseTiming;
import org.cactusshift.internal.coordination.store.InMemoryKeyValueStore;
import org.cactusshift.internal.coordination.store.KeyValueStore;
import org.cactusshift.internal.coordination.store.LeaseGrant;
import org.cactusshift.internal.coordination.store.StoreCallKind;
import org.cactusshift.node.internal.NodeDefaults;

/** Measures the store calls of nodes that hold or seek duties, and the stored size of all duty keys. */
final class DutyProbe implements Probe {
    private static final long WARM_UP_MILLIS = 3_000;
    private static final long MEASURE_MILLIS = 10_000;

    @Override
    public List<ScalingMeasurement> measure(Scale scale) {
        List<Sample> listBytes = new ArrayList<>();
        for (int duties : scale.sizes(12, 112, 452)) {
            listBytes.add(new Sample(duties, storedDutyBytes(duties)));
        }
        List<Sample> reads = new ArrayList<>();
        List<Sample> renewals = new ArrayList<>();
        measureCalls(scale, reads, renewals);
        return List.of(
                measurement(
                        "bytes of a read of all duties",
                        "duty",
                        SiteSizes.DUTIES_TODAY,
                        SiteSizes.DUTIES_PLANNED,
                        listBytes),
                measurement(
                        "store reads/s of all nodes", "node", SiteSizes.NODES_TODAY, SiteSizes.NODES_PLANNED, reads),
                measurement(
                        "lease renewals/s of all nodes",
                        "holder",
                        SiteSizes.NODES_TODAY,
                        SiteSizes.DUTIES_PLANNED,
                        renewals));
    }

    private static ScalingMeasurement measurement(
            String measure, String per, int today, int planned, List<Sample> samples) {
        return new ScalingMeasurement(NodeRole.DUTY_CANDIDATE, measure, per, today, planned, samples);
    }

    private static double storedDutyBytes(int duties) {
        KeyValueStore store = InMemoryKeyValueStore.create(BenchSite.MONOTONIC_MILLIS);
        for (DutyId duty : duties(duties)) {
            store.compareAndSwap(
                            duty.key(BenchSite.SITE),
                            0,
                            BenchSite.holder(duties).toBytes(),
                            LeaseGrant.NONE)
                    .get();
        }
        return CountingStore.storedBytes(store, DutyId.keyPrefix(BenchSite.SITE));
    }

    private static Set<DutyId> duties(int count) {
        Set<DutyId> duties = new HashSet<>();
        for (int shard = 0; shard < count; shard++) {
            duties.add(DutyId.claim(shard));
        }
        return duties;
    }

    /** Measures groups of several sizes concurrently, each with its own store. */
    private static void measureCalls(Scale scale, List<Sample> reads, List<Sample> renewals) {
        List<NodeGroup> groups =
                scale.sizes(4, 8, 16).stream().map(NodeGroup::start).toList();
        Meter.pause(scale.durationMillis(WARM_UP_MILLIS));
        long startNanos = System.nanoTime();
        List<Long> readsBefore =
                groups.stream().map(group -> group.store().reads()).toList();
        List<Long> renewalsBefore = groups.stream().map(NodeGroup::renewals).toList();
        Meter.pause(scale.durationMillis(MEASURE_MILLIS));
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        for (int i = 0; i < groups.size(); i++) {
            NodeGroup group = groups.get(i);
            int nodes = group.dutyServices().size();
            reads.add(new Sample(nodes, (group.store().reads() - readsBefore.get(i)) / seconds));
            renewals.add(new Sample(group.holderCount(), (group.renewals() - renewalsBefore.get(i)) / seconds));
        }
        groups.forEach(NodeGroup::close);
    }

    /** The duty services of nodes that share one store. */
    private record NodeGroup(CountingStore store, List<DutyService> dutyServices) {
        static NodeGroup start(int size) {
            CountingStore store = CountingStore.of(InMemoryKeyValueStore.create(BenchSite.MONOTONIC_MILLIS));
            List<InstanceId> liveNodes =
                    IntStream.range(0, size).mapToObj(BenchSite::instance).toList();
            List<DutyService> nodes = new ArrayList<>();
            for (int node = 0; node < size; node++) {
                DutyService service = DutyService.create(
                        store.countedStore(),
                        BenchSite.SITE,
                        BenchSite.holder(node),
                        LeaseTiming.ofTtl(NodeDefaults.TIMING.leaseTtlMillis()),
                        BenchSite.MONOTONIC_MILLIS);
                service.setLiveNodes(liveNodes);
                service.setRequiredDuties(duties(SiteSizes.DUTIES_TODAY));
                service.start();
                nodes.add(service);
            }
            return new NodeGroup(store, nodes);
        }

        long renewals() {
            return store.countedStore().calls(StoreCallKind.LEASE_RENEWAL);
        }

        int holderCount() {
            return (int) dutyServices.stream()
                    .filter(node -> !node.heldDuties().isEmpty())
                    .count();
        }

        void close() {
            dutyServices.forEach(DutyService::close);
        }
    }
}
