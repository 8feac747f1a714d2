package org.cactusshift.pgm.demo;

import io.opentelemetry.sdk.trace.export.SpanExporter;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cactusshift.config.ConfigLoader;
import org.cactusshift.config.FailureDomainConfig;
import org.cactusshift.config.NodeSettings;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.errors.CactusshiftException;
import org.cactusshift.errors.Failure;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.internal.coordination.configsync.ApplyResult;
import org.cactusshift.internal.coordination.configsync.ConfigRepository;
import org.cactusshift.internal.transport.store.EtcdKeyValueStore;
import org.cactusshift.internal.transport.store.EtcdStoreSettings;
import org.cactusshift.node.Node;
import org.cactusshift.standin.InstanceEntry;
import org.cactusshift.standin.engine.EngineTiming;
import org.cactusshift.standin.platform.PlatformSettings;
import org.cactusshift.standin.platform.StandInPlatform;

/** A site on loopback: stand-ins for the platform and the upstreams, an accepted configuration, and nodes. */
final class DemoSite implements AutoCloseable {
    private static final String EPHEMERAL_LOOPBACK_ADDRESS = "127.0.0.1:0";
    private static final long READY_TIMEOUT_MILLIS = 15_000;
    private static final long READY_POLL_MILLIS = 20;

    private final DemoKeys keys = DemoKeys.create();
    private final StandInPlatform platform;
    private final SiteConfig config;
    private final List<Node> nodes = new ArrayList<>();

    private DemoSite(StandInPlatform platform, SiteConfig declaredConfig) {
        this.platform = platform;
        this.config = keys.withNewKeys(platform.withStandInAddresses(declaredConfig));
    }

    /**
     * Starts a site.
     *
     * @param examples the directory with the base file and the overlays
     * @param site the name of the overlay
     * @param nodeCount the number of nodes
     * @param spans receives the spans of all nodes
     * @return the site, ready for requests
     * @throws CactusshiftException if the configuration is invalid or a node can't start
     * @throws IOException if a stand-in can't listen
     */
    static DemoSite start(Path examples, String site, int nodeCount, SpanExporter spans)
            throws CactusshiftException, IOException {
        SiteConfig declaredConfig = ConfigLoader.create()
                .load(
                        examples.resolve("base.json"),
                        examples.resolve("overlays").resolve(site + ".json"));
        StandInPlatform platform =
                StandInPlatform.create(PlatformSettings.forSite(declaredConfig, EngineTiming.standard()));
        platform.start();
        DemoSite demoSite = new DemoSite(platform, declaredConfig);
        try {
            demoSite.applyConfig();
            for (int i = 0; i < nodeCount; i++) {
                demoSite.startNode(i, spans);
            }
            demoSite.awaitReady();
            return demoSite;
        } catch (CactusshiftException e) {
            demoSite.close();
            throw e;
        }
    }

    private void applyConfig() throws CactusshiftException {
        try (EtcdKeyValueStore store = EtcdKeyValueStore.create(EtcdStoreSettings.forAddresses(
                List.of(platform.keyValueService().address())))) {
            Either<Failure, ApplyResult> result = ConfigRepository.open(store, config.site())
                    .apply()
                    .setConfig(config)
                    .setBaseVersion(0)
                    .setAuthor("demo")
                    .setComment("first configuration")
                    .setAcceptedEpochMillis(System.currentTimeMillis())
                    .call();
            if (result.isLeft()) {
                throw new CactusshiftException(result.getLeft());
            }
        }
    }

    private void startNode(int index, SpanExporter spans) throws CactusshiftException {
        List<FailureDomainConfig> domains = config.failureDomains();
        NodeSettings settings = new NodeSettings(
                InstanceId.fromString("entry-" + (index + 1)),
                config.site(),
                domains.get(index % domains.size()).id(),
                // The listen addresses for callers, operators and peers.
                EPHEMERAL_LOOPBACK_ADDRESS,
                EPHEMERAL_LOOPBACK_ADDRESS,
                EPHEMERAL_LOOPBACK_ADDRESS,
                nodes.stream().map(Node::peerAddress).toList(),
                List.of(platform.keyValueService().address()),
                Optional.of(platform.instanceList().address()),
                Optional.of(platform.orderingService().address()),
                Optional.of(platform.usageService().address()),
                // No trace collector, no TLS; below, no operator key.
                Optional.empty(),
                Optional.empty(),
                keys.keyHashSecretHex(),
                Optional.empty());
        Node node = Node.start(settings, Optional.of(spans));
        nodes.add(node);
        platform.instanceList()
                .put(new InstanceEntry(
                        settings.instanceId().value(),
                        InstanceEntry.Kind.ENTRY,
                        node.callerAddress(),
                        node.peerAddress(),
                        settings.failureDomain().value(),
                        InstanceEntry.State.LIVE));
    }

    private void awaitReady() throws CactusshiftException {
        long deadlineMillis = System.currentTimeMillis() + READY_TIMEOUT_MILLIS;
        while (!nodes.stream().allMatch(Node::isReady)) {
            if (System.currentTimeMillis() > deadlineMillis) {
                throw new CactusshiftException(Failure.noEffect(
                        "start demo", "local", "a node was not ready within " + READY_TIMEOUT_MILLIS + " ms"));
            }
            sleep(READY_POLL_MILLIS);
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    SiteConfig config() {
        return config;
    }

    StandInPlatform platform() {
        return platform;
    }

    List<Node> nodes() {
        return nodes;
    }

    String bearerToken(AccountId account) {
        return keys.bearer(account);
    }

    /**
     * Stops the nodes gracefully: open requests are completed and usage is handed over.
     *
     * @return false if the shutdown timeout of a node expired with requests still open
     */
    boolean stopNodes() {
        boolean allCompleted = true;
        for (Node node : nodes) {
            allCompleted &= node.stop();
        }
        nodes.clear();
        return allCompleted;
    }

    @Override
    public void close() {
        stopNodes();
        platform.close();
    }
}
