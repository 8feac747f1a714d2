package org.cactusshift.pgm.bench;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongConsumer;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.errors.Failure;
import org.cactusshift.id.InstanceId;
import org.cactusshift.internal.coordination.configsync.ConfigBundle;
import org.cactusshift.internal.coordination.configsync.ConfigDistributor;
import org.cactusshift.internal.coordination.configsync.ConfigPeerClient;
import org.cactusshift.internal.coordination.configsync.ConfigRepository;
import org.cactusshift.internal.coordination.configsync.KeyRingUpdater;
import org.cactusshift.internal.coordination.key.KeyFreshness;
import org.cactusshift.internal.coordination.key.KeyRing;
import org.cactusshift.internal.coordination.membership.Member;
import org.cactusshift.internal.coordination.membership.RendezvousRanking;
import org.cactusshift.internal.coordination.store.InMemoryKeyValueStore;

/** Measures the propagation of a change of one account through the store, a config relay and a config follower. */
final class ConfigProbe implements Probe {
    private static final int CHANGES = 8;
    private static final int ENGINES = 1_200;
    /** Two relays, at ranks 0 and 1, and a follower at rank 2. */
    private static final int NODES_PER_DOMAIN = 3;

    private final Series writerWrites = new Series(NodeRole.CONFIG_RELAY, "store writes of a change");
    private final Series writerReads = new Series(NodeRole.CONFIG_RELAY, "store reads of a change, by its writer");
    private final Series relayReads = new Series(NodeRole.CONFIG_RELAY, "store reads of a change, by a relay");
    private final Series relayCpu = new Series(NodeRole.CONFIG_RELAY, "CPU us of a change");
    private final Series relayRetainedBytes = new Series(NodeRole.CONFIG_RELAY, "installed configuration, bytes");
    private final Series deltaBytes = new Series(NodeRole.CONFIG_FOLLOWER, "bytes of a change");
    private final Series fullBytes = new Series(NodeRole.CONFIG_FOLLOWER, "bytes of the whole, at a start");
    private final Series followerCpu = new Series(NodeRole.CONFIG_FOLLOWER, "CPU us of a change");
    private final Series followerRetainedBytes = new Series(NodeRole.CONFIG_FOLLOWER, "installed configuration, bytes");

    /** The samples of one measure, by number of accounts. */
    private record Series(NodeRole role, String measure, List<Sample> samples) {
        Series(NodeRole role, String measure) {
            this(role, measure, new ArrayList<>());
        }

        void add(int accounts, double value) {
            samples.add(new Sample(accounts, value));
        }

        ScalingMeasurement toMeasurement() {
            return new ScalingMeasurement(
                    role, measure, "account", SiteSizes.ACCOUNTS_TODAY, SiteSizes.ACCOUNTS_PLANNED, samples);
        }
    }

    /** Gives a follower direct access to the configuration of a relay, without a network. */
    private record InProcessPeerClient(ConfigDistributor relay, String address) implements ConfigPeerClient {
        @Override
        public List<String> addresses() {
            return List.of(address);
        }

        @Override
        public Either<Failure, Optional<ConfigBundle>> fetch(String peerAddress, long haveVersion) {
            return Either.right(relay.bundleFor(haveVersion));
        }

        @Override
        public Runnable subscribeToVersions(String peerAddress, LongConsumer onVersion, Runnable onEnd) {
            return relay.subscribeToVersions(onVersion);
        }
    }

    /** Has no addresses, as a relay needs no peers while the store is available. */
    private static final class NoPeers implements ConfigPeerClient {
        @Override
        public List<String> addresses() {
            return List.of();
        }

        @Override
        public Either<Failure, Optional<ConfigBundle>> fetch(String peerAddress, long haveVersion) {
            return Either.right(Optional.empty());
        }

        @Override
        public Runnable subscribeToVersions(String peerAddress, LongConsumer onVersion, Runnable onEnd) {
            return () -> {};
        }
    }

    /** A distributor under measurement, with the threads that it started and the heap that it retains. */
    private static final class MeasuredDistributor {
        private ConfigDistributor distributor;
        private Set<Long> threadIds;
        private double retainedBytes;

        static MeasuredDistributor start(CountingStore store, ConfigPeerClient peers, int rank) {
            MeasuredDistributor measured = new MeasuredDistributor();
            Set<Long> existingThreadIds = Meter.threadIds();
            measured.retainedBytes = Meter.retainedBytes(() -> {
                measured.distributor = distributor(store, peers, rank);
                measured.distributor.start();
                Meter.await(() -> measured.distributor.version() > 0);
                return measured.distributor;
            });
            measured.threadIds = new HashSet<>(Meter.threadIds());
            measured.threadIds.removeAll(existingThreadIds);
            return measured;
        }

        double cpuMicros() {
            return Meter.cpuMicrosOf(threadIds);
        }

        void awaitVersion(long version) {
            Meter.await(() -> distributor.version() >= version);
        }
    }

    @Override
    public List<ScalingMeasurement> measure(Scale scale) {
        for (int accounts : scale.sizes(770, 2_310, 4_620, 7_700)) {
            measure(accounts);
        }
        return List.of(
                        writerWrites,
                        writerReads,
                        relayReads,
                        relayCpu,
                        relayRetainedBytes,
                        deltaBytes,
                        fullBytes,
                        followerCpu,
                        followerRetainedBytes)
                .stream()
                .map(Series::toMeasurement)
                .toList();
    }

    private void measure(int accounts) {
        SiteConfig config = BenchSite.config(accounts, ENGINES, "10.0.0.1:8000");
        InMemoryKeyValueStore store = InMemoryKeyValueStore.create(BenchSite.MONOTONIC_MILLIS);
        CountingStore writer = CountingStore.of(store);
        CountingStore relayStore = CountingStore.of(store);
        ConfigRepository repository = ConfigRepository.open(writer.countedStore(), BenchSite.SITE);
        apply(repository, config, 0);
        MeasuredDistributor relay = MeasuredDistributor.start(relayStore, new NoPeers(), 0);
        MeasuredDistributor follower = MeasuredDistributor.start(
                CountingStore.of(store), new InProcessPeerClient(relay.distributor, addressOfRank(0)), 2);
        long writesBefore = writer.writes();
        long readsBefore = writer.reads();
        long relayReadsBefore = relayStore.reads();
        double relayCpuBefore = relay.cpuMicros();
        double followerCpuBefore = follower.cpuMicros();
        for (int i = 1; i <= CHANGES; i++) {
            apply(repository, BenchSite.withWeight(config, i % accounts, i + 1), i);
            relay.awaitVersion(i + 1L);
            follower.awaitVersion(i + 1L);
        }
        writerWrites.add(accounts, (writer.writes() - writesBefore) / (double) CHANGES);
        writerReads.add(accounts, (writer.reads() - readsBefore) / (double) CHANGES);
        relayReads.add(accounts, (relayStore.reads() - relayReadsBefore) / (double) CHANGES);
        relayCpu.add(accounts, (relay.cpuMicros() - relayCpuBefore) / CHANGES);
        followerCpu.add(accounts, (follower.cpuMicros() - followerCpuBefore) / CHANGES);
        relayRetainedBytes.add(accounts, relay.retainedBytes);
        followerRetainedBytes.add(accounts, follower.retainedBytes);
        // The last change led from version CHANGES to the next, so that the bundle holds one change.
        deltaBytes.add(accounts, bytes(relay.distributor.bundleFor(CHANGES)));
        fullBytes.add(accounts, bytes(relay.distributor.bundleFor(0)));
        follower.distributor.close();
        relay.distributor.close();
    }

    private static void apply(ConfigRepository repository, SiteConfig config, long baseVersion) {
        repository.apply().setConfig(config).setBaseVersion(baseVersion).call().get();
    }

    private static double bytes(Optional<ConfigBundle> bundle) {
        return bundle.orElseThrow().toValues().values().stream()
                .mapToLong(value -> value.length)
                .sum();
    }

    /** Returns a distributor that is not started and has no configuration. */
    static ConfigDistributor unstartedDistributor() {
        InMemoryKeyValueStore store = InMemoryKeyValueStore.create(BenchSite.MONOTONIC_MILLIS);
        return distributor(CountingStore.of(store), new NoPeers(), 0);
    }

    private static ConfigDistributor distributor(CountingStore store, ConfigPeerClient peers, int rank) {
        InstanceId self = nodesInRankOrder().get(rank);
        KeyFreshness freshness = KeyProbe.freshness();
        return ConfigDistributor.builder()
                .setSelf(self, BenchSite.failureDomain(0))
                .setRepository(ConfigRepository.open(store.countedStore(), BenchSite.SITE))
                .setPeers(peers)
                .setListener(KeyRingUpdater.of(KeyRing.create(KeyProbe.hasher(), freshness), freshness))
                .setMembers(() -> failureDomainMembers().stream()
                        .filter(member -> !member.id().equals(self))
                        .toList())
                .setContactAgeMillis(() -> 0)
                .setMonotonicMillis(BenchSite.MONOTONIC_MILLIS)
                .build();
    }

    private static List<Member> failureDomainMembers() {
        return BenchSite.members(NODES_PER_DOMAIN * SiteSizes.FAILURE_DOMAINS_PLANNED).stream()
                .filter(member -> member.failureDomain().equals(BenchSite.failureDomain(0)))
                .toList();
    }

    private static List<InstanceId> nodesInRankOrder() {
        return RendezvousRanking.rank(
                PeerSelectionProbe.RELAY_RANKING_SEED,
                failureDomainMembers().stream().map(Member::id).toList());
    }

    private static String addressOfRank(int rank) {
        return failureDomainMembers().stream()
                .filter(member -> member.id().equals(nodesInRankOrder().get(rank)))
                .findFirst()
                .orElseThrow()
                .peerAddress();
    }
}
