package org.cactusshift.systemtest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.cactusshift.config.ConfigLoader;
import org.cactusshift.config.FailureDomainConfig;
import org.cactusshift.config.LimitsConfig;
import org.cactusshift.config.NodeSettings;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.config.TimingConfig;
import org.cactusshift.errors.CactusshiftException;
import org.cactusshift.errors.Failure;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.KeyId;
import org.cactusshift.internal.coordination.configsync.AccountKeyEditor;
import org.cactusshift.internal.coordination.configsync.ApplyResult;
import org.cactusshift.internal.coordination.configsync.ConfigRepository;
import org.cactusshift.internal.coordination.configsync.VersionedConfig;
import org.cactusshift.internal.transport.store.EtcdKeyValueStore;
import org.cactusshift.internal.transport.store.EtcdStoreSettings;
import org.cactusshift.pgm.demo.DemoKeys;
import org.cactusshift.standin.InstanceEntry;
import org.cactusshift.standin.StandInClient;
import org.cactusshift.standin.engine.EngineTiming;
import org.cactusshift.standin.link.TcpRelay;
import org.cactusshift.standin.platform.PlatformSettings;
import org.cactusshift.standin.platform.StandInPlatform;

/**
 * Runs the example site be-coast with stand-ins, eight node processes and shorter leases, usage windows and request
 * time-outs, for the fault tests under traffic. Nodes can be added and removed; {@link NodeSite} keeps the configured
 * time-outs.
 */
final class FaultTestSite implements AutoCloseable {
    static final int NODE_COUNT = 8;

    /** Time-out for conditions that must become true, in milliseconds. */
    static final long CONDITION_TIMEOUT_MILLIS = 90_000;

    /**
     * Suspicion after 1.5 s; leases, key freshness and usage windows of 3 s; requests time out after 20 s, upstreams
     * without progress after 3 s.
     */
    static final TimingConfig TIMING =
            new TimingConfig(20_000, 10_000, 3_000, 1_000, 300, 1_500, 3_000, 3_000, 3_000, 300, 10_000, 30_000);

    private static final Path EXAMPLES = Path.of("..", "examples");

    /** The addresses for callers, operators and peers. */
    private static final int ADDRESSES_PER_NODE = 3;

    /** The lag of the platform's instance list. */
    private static final long INSTANCE_LIST_LAG_MILLIS = 200;

    /** The time from an order to the start of its upstreams. */
    private static final long PROVISIONING_MILLIS = 1_000;

    private final Path directory;

    private final DemoKeys keys = DemoKeys.create();

    private final StandInPlatform platform;

    private final SiteConfig config;

    private final StandInClient client = StandInClient.create();

    private final List<SiteNode> nodes = new CopyOnWriteArrayList<>();

    private final List<SiteNode> startedNodes = new ArrayList<>();

    private FaultTestSite(Path directory, StandInPlatform platform, SiteConfig declared) {
        this.directory = directory;
        this.platform = platform;
        this.config = keys.withNewKeys(platform.withStandInAddresses(declared));
    }

    /** Starts a site and waits until all nodes are ready. */
    static FaultTestSite start(Path directory) throws Exception {
        SiteConfig declared = withTiming(ConfigLoader.create()
                .load(
                        EXAMPLES.resolve("base.json"),
                        EXAMPLES.resolve("overlays").resolve("be-coast.json")));
        StandInPlatform platform = StandInPlatform.create(PlatformSettings.forSite(declared, EngineTiming.standard())
                .withDelays(PROVISIONING_MILLIS, INSTANCE_LIST_LAG_MILLIS));
        platform.start();
        FaultTestSite site = new FaultTestSite(directory, platform, declared);
        try {
            site.publishFirstConfig();
            for (int i = 0; i < NODE_COUNT; i++) {
                site.startNode();
            }
            site.awaitReady();
            return site;
        } catch (Exception | AssertionError e) {
            site.close();
            throw e;
        }
    }

    private static SiteConfig withTiming(SiteConfig site) {
        return new SiteConfig(
                site.schemaVersion(),
                site.site(),
                site.shutdownDate(),
                site.failureDomains(),
                site.accounts(),
                site.services(),
                site.upstreams(),
                site.limits(),
                TIMING);
    }

    private void publishFirstConfig() throws CactusshiftException {
        try (EtcdKeyValueStore store = EtcdKeyValueStore.create(EtcdStoreSettings.forAddresses(
                List.of(platform.keyValueService().address())))) {
            Either<Failure, ApplyResult> result = ConfigRepository.open(store, config.site())
                    .apply()
                    .setConfig(config)
                    .setBaseVersion(0)
                    .setAuthor("test")
                    .setComment("first configuration")
                    .setAcceptedEpochMillis(System.currentTimeMillis())
                    .call();
            if (result.isLeft()) {
                throw new CactusshiftException(result.getLeft());
            }
        }
    }

    /**
     * Starts one more node, with a new id and new addresses, registers it with the platform and adds it to
     * {@link #nodes()}. Doesn't wait until it is ready.
     */
    SiteNode startNode() throws IOException {
        return startNode(platform.keyValueService().address());
    }

    /**
     * Starts one more node, as {@link #startNode()}, that reaches the store at the given address, such as that of a
     * {@link TcpRelay}.
     */
    SiteNode startNode(String storeAddress) throws IOException {
        List<FailureDomainConfig> domains = config.failureDomains();
        List<String> addresses = FreePorts.addresses(ADDRESSES_PER_NODE);
        NodeSettings settings = new NodeSettings(
                InstanceId.fromString("entry-" + (startedNodes.size() + 1)),
                config.site(),
                domains.get(startedNodes.size() % domains.size()).id(),
                addresses.get(0),
                addresses.get(1),
                addresses.get(2),
                // Initial peers; nodes that start later become known as members.
                nodes.stream().map(node -> node.settings().peerAddress()).toList(),
                List.of(storeAddress),
                Optional.of(platform.instanceList().address()),
                Optional.of(platform.orderingService().address()),
                Optional.of(platform.usageService().address()),
                Optional.empty(),
                Optional.empty(),
                keys.keyHashSecretHex(),
                Optional.empty());
        SiteNode node = new SiteNode(settings, NodeProcess.startNode(settings, directory));
        startedNodes.add(node);
        nodes.add(node);
        platform.instanceList()
                .put(new InstanceEntry(
                        node.name(),
                        InstanceEntry.Kind.ENTRY,
                        settings.callerAddress(),
                        settings.peerAddress(),
                        settings.failureDomain().value(),
                        InstanceEntry.State.LIVE));
        return node;
    }

    /** Waits until every node is ready for requests. */
    void awaitReady() throws Exception {
        for (SiteNode node : nodes) {
            assertTrue(
                    node.process()
                            .awaitOk(client, node.settings().operatorAddress(), "/readyz", CONDITION_TIMEOUT_MILLIS),
                    node.process().output());
        }
    }

    /** Removes a node from the callers' list and from the platform's instance list; its process keeps running. */
    void deregister(SiteNode node) {
        nodes.remove(node);
        platform.instanceList().remove(node.name());
    }

    /** Returns the nodes that callers send requests to; tests may change the list. */
    List<SiteNode> nodes() {
        return nodes;
    }

    /** Waits until a node reports that it holds a duty of the given kind, such as "claim", and returns that node. */
    SiteNode awaitDutyHolder(String dutyKind) throws InterruptedException {
        List<SiteNode> found = new ArrayList<>();
        BoundedWait.until("a holder of a duty of kind " + dutyKind, () -> {
            for (SiteNode node : nodes) {
                if (found.isEmpty() && dutiesOrNone(node).stream().anyMatch(duty -> duty.startsWith(dutyKind + "/"))) {
                    found.add(node);
                }
            }
            return !found.isEmpty();
        });
        return found.get(0);
    }

    /** Returns the duties that a node reports as held; none when its status endpoint is unreachable. */
    private List<String> dutiesOrNone(SiteNode node) {
        try {
            return node.duties(client);
        } catch (IOException e) {
            return List.of();
        }
    }

    /** Revokes the first key of a client account, as an operator does. */
    void revokeKey(AccountId account) throws CactusshiftException {
        applyChange(current -> AccountKeyEditor.revoke(current, keyOf(current, account)));
    }

    /** Publishes a configuration that differs only in the maximum number of queued requests; returns its version. */
    long publishChangedConfig() throws CactusshiftException {
        return applyChange(current -> new SiteConfig(
                current.schemaVersion(),
                current.site(),
                current.shutdownDate(),
                current.failureDomains(),
                current.accounts(),
                current.services(),
                current.upstreams(),
                withLongerQueue(current.limits()),
                current.timing()));
    }

    private static LimitsConfig withLongerQueue(LimitsConfig limits) {
        return new LimitsConfig(
                limits.maximumBodyBytes(),
                limits.maximumHeaderBytes(),
                limits.maximumConnections(),
                limits.maximumQueuedRequests() + 1,
                limits.retryBudgetRatio(),
                limits.storeCallsPerSecond());
    }

    private static KeyId keyOf(SiteConfig current, AccountId account) {
        return current.accounts().stream()
                .filter(candidate -> candidate.id().equals(account))
                .map(candidate -> candidate.keys().get(0).id())
                .findFirst()
                .orElseThrow();
    }

    private long applyChange(ConfigChange change) throws CactusshiftException {
        try (EtcdKeyValueStore store = EtcdKeyValueStore.create(EtcdStoreSettings.forAddresses(
                List.of(platform.keyValueService().address())))) {
            ConfigRepository repository = ConfigRepository.open(store, config.site());
            VersionedConfig current = repository.readCurrent().get().get();
            ApplyResult result = repository
                    .apply()
                    .setConfig(change.applyTo(current.config()))
                    .setBaseVersion(current.version())
                    .setAuthor("test")
                    .setComment("a change under traffic")
                    .setAcceptedEpochMillis(System.currentTimeMillis())
                    .call()
                    .get();
            assertEquals(ApplyResult.Outcome.APPLIED, result.outcome());
            return result.version();
        }
    }

    /** Waits until the last contact of every node with the store is at least the given time ago. */
    void awaitStoreContactAge(long millis) throws InterruptedException {
        BoundedWait.until("store contact age of " + millis + " ms at every node", () -> {
            for (SiteNode node : nodes) {
                if (node.status(client).path("storeContactAgeMillis").asLong() < millis) {
                    return false;
                }
            }
            return true;
        });
    }

    SiteConfig config() {
        return config;
    }

    StandInPlatform platform() {
        return platform;
    }

    StandInClient client() {
        return client;
    }

    String bearerToken(AccountId account) {
        return keys.bearer(account);
    }

    @Override
    public void close() {
        startedNodes.forEach(node -> node.process().close());
        client.close();
        platform.close();
    }

    /** Derives a configuration from the current one. */
    private interface ConfigChange {
        SiteConfig applyTo(SiteConfig current) throws CactusshiftException;
    }
}
