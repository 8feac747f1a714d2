package org.cactusshift.node.internal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.random.RandomGeneratorFactory;
import org.cactusshift.config.ConfigLoader;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.errors.Failure;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.internal.coordination.configsync.ConfigBundle;
import org.cactusshift.internal.coordination.configsync.ConfigDistributor;
import org.cactusshift.internal.coordination.configsync.ConfigPeerClient;
import org.cactusshift.internal.coordination.configsync.ConfigRepository;
import org.cactusshift.internal.coordination.configsync.KeyRingUpdater;
import org.cactusshift.internal.coordination.dispatch.DispatchService;
import org.cactusshift.internal.coordination.dispatch.DispatcherOptions;
import org.cactusshift.internal.coordination.dispatch.ServiceDispatcher;
import org.cactusshift.internal.coordination.key.KeyFreshness;
import org.cactusshift.internal.coordination.key.KeyHasher;
import org.cactusshift.internal.coordination.key.KeyRing;
import org.cactusshift.internal.coordination.store.InMemoryKeyValueStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class NodeReadinessTest {
    private static final InstanceId SELF = InstanceId.fromString("entry-0");
    private static final long NOW_MILLIS = 1_000;
    private static final long FRESHNESS_MILLIS = 4_000;
    private static final long WAIT_SECONDS = 30;

    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
    private final InMemoryKeyValueStore store = InMemoryKeyValueStore.create(() -> NOW_MILLIS);
    private final CountDownLatch installing = new CountDownLatch(1);
    private final CountDownLatch coordinationStarted = new CountDownLatch(1);
    private final CountDownLatch installed = new CountDownLatch(1);
    private KeyFreshness freshness;
    private DispatchService dispatch;
    private ConfigDistributor config;
    private NodeReadiness readiness;

    @BeforeEach
    void create() throws Exception {
        Path examples = Path.of("..", "examples");
        SiteConfig site = ConfigLoader.create()
                .load(
                        examples.resolve("base.json"),
                        examples.resolve("overlays").resolve("be-coast.json"));
        ConfigRepository repository = ConfigRepository.open(store, site.site());
        repository.apply().setConfig(site).setBaseVersion(0).call().get();
        FailureDomainId domain = site.failureDomains().get(0).id();
        freshness = KeyFreshness.create(SELF, domain, FRESHNESS_MILLIS, FRESHNESS_MILLIS);
        dispatch = DispatchService.create(
                (service, installedSite) -> ServiceDispatcher.create(
                        DispatcherOptions.create(NodeIdentity.newIncarnation(), service.kind(), installedSite.limits()),
                        RandomGeneratorFactory.of("L64X128MixRandom").create(1)),
                () -> NOW_MILLIS,
                scheduler);
        config = ConfigDistributor.builder()
                .setSelf(SELF, domain)
                .setRepository(repository)
                .setPeers(new NoPeers())
                .setListener(KeyRingUpdater.of(KeyRing.create(KeyHasher.fromHex("00ff"), freshness), freshness))
                .setMembers(List::of)
                .setContactAgeMillis(() -> freshness.contactAgeMillis(NOW_MILLIS))
                .setMonotonicMillis(() -> NOW_MILLIS)
                .build();
        readiness = NodeReadiness.create(config, dispatch, freshness);
    }

    @AfterEach
    void close() {
        coordinationStarted.countDown();
        config.close();
        dispatch.close();
        scheduler.shutdownNow();
    }

    @Test
    void configuredNodeIsNotReadyBeforeItCanDispatchRequests() throws Exception {
        // Subscribed in the same order as in a node, which starts its coordination before it installs its dispatchers.
        config.subscribe(active -> {
            installing.countDown();
            await(coordinationStarted);
        });
        config.subscribe(dispatch::install);
        config.subscribe(active -> installed.countDown());
        config.start();
        await(installing);
        // A read of the head, on another thread, that finds the version which is being installed.
        freshness.onStoreContact(NOW_MILLIS, 1);

        assertEquals(1, config.version());
        assertEquals(Optional.of("the configuration is being installed"), readiness.notReadyReason(NOW_MILLIS));

        coordinationStarted.countDown();
        await(installed);

        assertEquals(Optional.empty(), readiness.notReadyReason(NOW_MILLIS));
    }

    private static void await(CountDownLatch latch) {
        try {
            assertTrue(latch.await(WAIT_SECONDS, TimeUnit.SECONDS), "the event did not occur");
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static final class NoPeers implements ConfigPeerClient {
        @Override
        public List<String> addresses() {
            return List.of();
        }

        @Override
        public Either<Failure, Optional<ConfigBundle>> fetch(String peerAddress, long installedVersion) {
            return Either.left(Failure.noEffect("fetch configuration", peerAddress, "no such peer"));
        }

        @Override
        public Runnable subscribeToVersions(String peerAddress, LongConsumer onVersion, Runnable onEnd) {
            return () -> {};
        }
    }
}
