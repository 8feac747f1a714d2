package org.cactusshift.internal.coordination.configsync;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;
import java.util.stream.IntStream;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.errors.Failure;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.KeyId;
import org.cactusshift.internal.coordination.key.KeyFreshness;
import org.cactusshift.internal.coordination.key.KeyHasher;
import org.cactusshift.internal.coordination.key.KeyRing;
import org.cactusshift.internal.coordination.membership.Member;
import org.cactusshift.internal.coordination.store.InMemoryKeyValueStore;
import org.cactusshift.internal.coordination.store.StoreCallKind;
import org.cactusshift.internal.coordination.store.StoreFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ConfigDistributorTest {
    private static final FailureDomainId DOMAIN = FailureDomainId.fromString("ostend-a");
    private static final long WAIT_MILLIS = 10_000;
    private static final int NODES = 5;

    private final InMemoryKeyValueStore store = InMemoryKeyValueStore.create(ConfigDistributorTest::nowMillis);
    private final Map<String, ConfigDistributor> distributorsByNode = new ConcurrentHashMap<>();
    private final Map<String, KeyRing> keyRingsByNode = new ConcurrentHashMap<>();
    /** The number of nodes, from node 0 on, that are members; a node started later knows them as peers only. */
    private int memberCount;

    private SiteConfig example;
    private ConfigRepository repository;

    @BeforeEach
    void openRepository() throws Exception {
        example = SiteConfigs.example();
        repository = ConfigRepository.open(store, example.site());
    }

    @AfterEach
    void closeAll() {
        distributorsByNode.values().forEach(ConfigDistributor::close);
    }

    @Test
    void everyNodeInstallsTheLastOfSeveralChanges() {
        startNodes(NODES);
        List<Long> seen = new CopyOnWriteArrayList<>();
        node(4).subscribe(installed -> seen.add(installed.version()));
        assertEquals(Optional.of("no configuration was accepted yet"), awaitReason(node(0)));
        for (int version = 1; version <= 5; version++) {
            apply(SiteConfigs.withWeight(example, "auditors", version), version - 1);
        }
        awaitVersion(5);
        await(() -> seen.contains(5L));

        // A node may skip versions, but sees them in ascending order.
        assertEquals(seen.stream().sorted().toList(), seen);
        assertEquals(Optional.empty(), node(0).missingConfigReason());
    }

    @Test
    void onlyRelaysWatchTheStore() {
        AtomicInteger watches = new AtomicInteger();
        store.setFaultInjector((kind, key) -> {
            watches.addAndGet(kind == StoreCallKind.WATCH ? 1 : 0);
            return StoreFault.NONE;
        });
        apply(example, 0);
        startNodes(NODES);
        awaitVersion(1);
        apply(SiteConfigs.withWeight(example, "auditors", 2), 1);
        awaitVersion(2);

        assertEquals(DistributionPolicy.RELAYS, watches.get());
    }

    @Test
    void changeIsInstalledByPeriodicReadWhenNoWatchCanBeOpened() {
        apply(example, 0);
        startNodes(1);
        awaitVersion(1);
        store.setFaultInjector((kind, key) -> kind == StoreCallKind.WATCH ? StoreFault.UNAVAILABLE : StoreFault.NONE);
        store.endWatches();
        apply(SiteConfigs.withWeight(example, "auditors", 2), 1);

        awaitVersion(2);
    }

    @Test
    void nodeStartedWhileStoreIsUnavailableInstallsTheVersionOfItsPeers() {
        apply(example, 0);
        startNodes(2);
        awaitVersion(1);
        store.setFaultInjector((kind, key) -> StoreFault.UNAVAILABLE);
        start(2);
        awaitVersion(1);
        assertEquals(example, node(2).active().orElseThrow().config());
    }

    @Test
    void nodeWithNeitherStoreNorPeersReportsTheReason() {
        store.setFaultInjector((kind, key) -> StoreFault.UNAVAILABLE);
        start(0);
        await(() -> node(0).missingConfigReason().orElse("").contains("unavailable"));

        assertTrue(node(0).active().isEmpty());
        assertTrue(node(0).missingConfigReason().orElseThrow().contains("0 peers answered"));
    }

    @Test
    void keyIsRevokedAlthoughThePartsCannotBeRead() {
        apply(example, 0);
        startNodes(2);
        awaitVersion(1);
        KeyId key = KeyId.fromString("auditors-1");
        await(() -> keyRingsByNode.values().stream().allMatch(ring -> ring.isStillValid(key, nowMillis())));
        // The index and the parts that version 2 writes have keys that contain /2- and cannot be read.
        store.setFaultInjector((kind, storeKey) ->
                kind != StoreCallKind.SWAP && storeKey.contains("/2-") ? StoreFault.UNAVAILABLE : StoreFault.NONE);
        apply(SiteConfigs.withRevokedKey(example, "auditors-1"), 1);

        await(() -> keyRingsByNode.values().stream().noneMatch(ring -> ring.isStillValid(key, nowMillis())));
        assertEquals(1, node(0).version());
    }

    private void startNodes(int count) {
        memberCount = count;
        for (int i = 0; i < count; i++) {
            start(i);
        }
    }

    private void start(int number) {
        InstanceId self = InstanceId.fromString("n" + number);
        KeyFreshness freshness = KeyFreshness.create(self, DOMAIN, 4000, 2000);
        KeyRing ring = KeyRing.create(KeyHasher.fromHex("00ff"), freshness);
        keyRingsByNode.put(self.value(), ring);
        ConfigDistributor distributor = ConfigDistributor.builder()
                .setSelf(self, DOMAIN)
                .setRepository(repository)
                .setPeers(new LocalPeerClient(self.value()))
                .setListener(KeyRingUpdater.of(ring, freshness))
                .setMembers(() -> members(self.value()))
                .setContactAgeMillis(() -> freshness.contactAgeMillis(nowMillis()))
                .setMonotonicMillis(ConfigDistributorTest::nowMillis)
                .build();
        distributorsByNode.put(self.value(), distributor);
        distributor.start();
    }

    private List<Member> members(String self) {
        return IntStream.range(0, memberCount)
                .mapToObj(i -> "n" + i)
                .filter(id -> !id.equals(self))
                .map(id -> new Member(InstanceId.fromString(id), DOMAIN, id, Optional.empty(), Member.State.LIVE))
                .toList();
    }

    private ConfigDistributor node(int number) {
        return distributorsByNode.get("n" + number);
    }

    private void apply(SiteConfig config, long baseVersion) {
        ApplyResult result = repository
                .apply()
                .setConfig(config)
                .setBaseVersion(baseVersion)
                .call()
                .get();
        assertEquals(ApplyResult.Outcome.APPLIED, result.outcome());
    }

    private void awaitVersion(long version) {
        await(() -> distributorsByNode.values().stream().allMatch(node -> node.version() == version));
    }

    private static Optional<String> awaitReason(ConfigDistributor node) {
        await(() -> node.missingConfigReason().orElse("").contains("accepted"));
        return node.missingConfigReason();
    }

    private static void await(BooleanSupplier condition) {
        long deadline = nowMillis() + WAIT_MILLIS;
        while (!condition.getAsBoolean()) {
            assertTrue(nowMillis() < deadline, "the condition was not met within " + WAIT_MILLIS + " ms");
            Thread.onSpinWait();
        }
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Calls the other distributors of the test directly; the address of a peer is its instance id. */
    private final class LocalPeerClient implements ConfigPeerClient {
        private final String self;

        LocalPeerClient(String self) {
            this.self = self;
        }

        @Override
        public List<String> addresses() {
            return distributorsByNode.keySet().stream()
                    .filter(id -> !id.equals(self))
                    .toList();
        }

        @Override
        public Either<Failure, Optional<ConfigBundle>> fetch(String peerAddress, long installedVersion) {
            ConfigDistributor peer = distributorsByNode.get(peerAddress);
            return peer == null
                    ? Either.left(Failure.noEffect("fetch configuration", peerAddress, "not started"))
                    : Either.right(peer.bundleFor(installedVersion));
        }

        @Override
        public Runnable subscribeToVersions(String peerAddress, LongConsumer onVersion, Runnable onEnd) {
            ConfigDistributor peer = distributorsByNode.get(peerAddress);
            if (peer == null) {
                onEnd.run();
                return () -> {};
            }
            return peer.subscribeToVersions(onVersion);
        }
    }
}
