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

/** Measures the store calls of nodes that hold or seek duties, and the size of a read of all duties. */
final class DutyProbe implements Probe {
    private static final long SETTLE_MILLIS = 3_000;
    private static final long MEASURE_MILLIS = 10_000;

    @Override
    public List<Slope> measure(Scale scale) {
        List<Sample> listBytes = new ArrayList<>();
        for (int duties : scale.sizes(12, 112, 452)) {
            listBytes.add(new Sample(duties, listBytes(duties)));
        }
        List<Sample> reads = new ArrayList<>();
        List<Sample> writes = new ArrayList<>();
        measureCalls(scale, reads, writes);
        return List.of(
                slope("bytes of a read of all duties", "duty", SiteSizes.DUTIES_TODAY, SiteSizes.DUTIES, listBytes),
                slope("store reads/s of all nodes", "node", SiteSizes.NODES_TODAY, SiteSizes.NODES, reads),
                slope("lease renewals/s of all nodes", "holder", SiteSizes.NODES_TODAY, SiteSizes.DUTIES, writes));
    }

    private static Slope slope(String measure, String per, int today, int planned, List<Sample> samples) {
        return new Slope(Role.DUTY_CANDIDATE, measure, per, today, planned, samples);
    }

    private static double listBytes(int duties) {
        KeyValueStore store = InMemoryKeyValueStore.create(BenchSite.CLOCK_MILLIS);
        for (DutyId duty : duties(duties)) {
            store.compareAndSwap(
                            duty.key(BenchSite.SITE),
                            0,
                            BenchSite.holder(duties).toBytes(),
                            LeaseGrant.NONE)
                    .get();
        }
        return CountingStore.bytes(store, DutyId.keyPrefix(BenchSite.SITE));
    }

    private static Set<DutyId> duties(int count) {
        Set<DutyId> duties = new HashSet<>();
        for (int shard = 0; shard < count; shard++) {
            duties.add(DutyId.claim(shard));
        }
        return duties;
    }

    /** Measures all fleets concurrently, each with its own store. */
    private static void measureCalls(Scale scale, List<Sample> reads, List<Sample> renewals) {
        List<Fleet> fleets = scale.sizes(4, 8, 16).stream().map(Fleet::start).toList();
        Meter.pause(scale.millis(SETTLE_MILLIS));
        long startNanos = System.nanoTime();
        List<Long> readsBefore =
                fleets.stream().map(fleet -> fleet.store().reads()).toList();
        List<Long> renewalsBefore = fleets.stream().map(Fleet::renewals).toList();
        Meter.pause(scale.millis(MEASURE_MILLIS));
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        for (int i = 0; i < fleets.size(); i++) {
            Fleet fleet = fleets.get(i);
            int nodes = fleet.dutyServices().size();
            reads.add(new Sample(nodes, (fleet.store().reads() - readsBefore.get(i)) / seconds));
            renewals.add(new Sample(fleet.holders(), (fleet.renewals() - renewalsBefore.get(i)) / seconds));
        }
        fleets.forEach(Fleet::close);
    }

    /** The duty services of nodes that share one store. */
    private record Fleet(CountingStore store, List<DutyService> dutyServices) {
        static Fleet start(int size) {
            CountingStore store = CountingStore.of(InMemoryKeyValueStore.create(BenchSite.CLOCK_MILLIS));
            List<InstanceId> members =
                    IntStream.range(0, size).mapToObj(BenchSite::instance).toList();
            List<DutyService> nodes = new ArrayList<>();
            for (int node = 0; node < size; node++) {
                DutyService service = DutyService.create(
                        store.store(),
                        BenchSite.SITE,
                        BenchSite.holder(node),
                        LeaseTiming.ofTtl(NodeDefaults.TIMING.leaseTtlMillis()),
                        BenchSite.CLOCK_MILLIS);
                service.setMembers(members);
                service.setRequiredDuties(duties(SiteSizes.DUTIES_TODAY));
                service.start();
                nodes.add(service);
            }
            return new Fleet(store, nodes);
        }

        long renewals() {
            return store.store().calls(StoreCallKind.LEASE_RENEWAL);
        }

        int holders() {
            return (int) dutyServices.stream()
                    .filter(node -> !node.heldDuties().isEmpty())
                    .count();
        }

        void close() {
            dutyServices.forEach(DutyService::close);
        }
    }
}
