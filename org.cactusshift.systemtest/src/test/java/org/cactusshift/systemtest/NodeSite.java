package org.cactusshift.systemtest;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cactusshift.config.ConfigLoader;
import org.cactusshift.config.NodeSettings;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.errors.CactusshiftException;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.internal.coordination.configsync.ConfigRepository;
import org.cactusshift.internal.transport.store.EtcdKeyValueStore;
import org.cactusshift.internal.transport.store.EtcdStoreSettings;
import org.cactusshift.standin.InstanceEntry;
import org.cactusshift.standin.StandInClient;
import org.cactusshift.standin.engine.EngineTiming;
import org.cactusshift.standin.link.TcpRelay;
import org.cactusshift.standin.platform.PlatformSettings;
import org.cactusshift.standin.platform.StandInPlatform;

/**
 * Runs the example site be-coast with its configured time-outs on loopback: the stand-ins in this process, each node in
 * a process of its own that reaches the store through a relay of its own. Nodes can be restarted.
 */
final class NodeSite implements AutoCloseable {
    private static final Path EXAMPLES = Path.of("..", "examples");

    private static final long READY_TIMEOUT_MILLIS = 60_000;

    /** The addresses for callers, operators and peers. */
    private static final int ADDRESSES_PER_NODE = 3;

    private final Path directory;

    private final TestClientKeys keys = new TestClientKeys();

    private final StandInPlatform platform;

    private final SiteConfig config;

    private final List<NodeSettings> nodeSettings = new ArrayList<>();

    private final List<TcpRelay> storeRelays = new ArrayList<>();

    private final List<NodeProcess> processes = new ArrayList<>();

    private NodeSite(Path directory, StandInPlatform platform, SiteConfig declared) {
        this.directory = directory;
        this.platform = platform;
        this.config = keys.withNewKeys(platform.withStandInAddresses(declared));
    }

    /**
     * Starts the stand-ins, publishes the configuration, starts the nodes and waits until all are ready.
     *
     * @param directory the directory for settings and output files
     * @param nodeCount the number of nodes
     * @param timing the timing of the stand-in engines
     * @return the site
     * @throws Exception if a stand-in or a node does not start
     */
    static NodeSite start(Path directory, int nodeCount, EngineTiming timing) throws Exception {
        SiteConfig declared =
                ConfigLoader.create().load(EXAMPLES.resolve("base.json"), EXAMPLES.resolve("overlays/be-coast.json"));
        StandInPlatform platform = StandInPlatform.create(PlatformSettings.forSite(declared, timing));
        platform.start();
        NodeSite site = new NodeSite(directory, platform, declared);
        try {
            site.publishFirstConfig();
            site.createNodeSettings(nodeCount);
            for (int i = 0; i < nodeCount; i++) {
                site.processes.add(NodeProcess.startNode(site.nodeSettings.get(i), directory));
            }
            for (int i = 0; i < nodeCount; i++) {
                site.awaitReady(i);
            }
            return site;
        } catch (Exception e) {
            site.close();
            throw e;
        }
    }

    StandInPlatform platform() {
        return platform;
    }

    SiteConfig config() {
        return config;
    }

    NodeProcess node(int index) {
        return processes.get(index);
    }

    String callerAddress(int index) {
        return nodeSettings.get(index).callerAddress();
    }

    /** Returns the relay between a node and the store. */
    TcpRelay storeRelay(int index) {
        return storeRelays.get(index);
    }

    Caller caller(AccountId account) {
        return new Caller(keys.bearerToken(account));
    }

    /** Restarts a node whose process has exited, with the same settings, and waits until it is ready. */
    void restart(int index) throws IOException, InterruptedException {
        processes.set(index, NodeProcess.startNode(nodeSettings.get(index), directory));
        awaitReady(index);
    }

    @Override
    public void close() throws IOException {
        processes.forEach(NodeProcess::close);
        for (TcpRelay relay : storeRelays) {
            relay.close();
        }
        platform.close();
    }

    private void publishFirstConfig() throws CactusshiftException {
        EtcdStoreSettings storeSettings = EtcdStoreSettings.forAddresses(
                List.of(platform.keyValueService().address()));
        try (EtcdKeyValueStore store = EtcdKeyValueStore.create(storeSettings)) {
            ConfigRepository.open(store, config.site())
                    .apply()
                    .setConfig(config)
                    .setBaseVersion(0)
                    .setAuthor("test")
                    .setComment("first configuration")
                    .setAcceptedEpochMillis(System.currentTimeMillis())
                    .call()
                    .getOrElseThrow(CactusshiftException::new);
        }
    }

    /** Starts a store relay for each node, and creates and registers the node's settings. */
    private void createNodeSettings(int nodeCount) throws IOException {
        List<String> addresses = FreePorts.addresses(nodeCount * ADDRESSES_PER_NODE);
        List<String> peers = addresses.subList(2 * nodeCount, ADDRESSES_PER_NODE * nodeCount);
        for (int i = 0; i < nodeCount; i++) {
            TcpRelay relay = TcpRelay.start(platform.keyValueService().address());
            storeRelays.add(relay);
            NodeSettings node = new NodeSettings(
                    InstanceId.fromString("entry-" + (i + 1)),
                    config.site(),
                    config.failureDomains()
                            .get(i % config.failureDomains().size())
                            .id(),
                    addresses.get(i),
                    addresses.get(nodeCount + i),
                    peers.get(i),
                    peers,
                    List.of(relay.address()),
                    Optional.of(platform.instanceList().address()),
                    Optional.of(platform.orderingService().address()),
                    Optional.of(platform.usageService().address()),
                    Optional.empty(),
                    Optional.empty(),
                    TestClientKeys.HASH_SECRET_HEX,
                    Optional.empty());
            nodeSettings.add(node);
            platform.instanceList()
                    .put(new InstanceEntry(
                            node.instanceId().value(),
                            InstanceEntry.Kind.ENTRY,
                            node.callerAddress(),
                            node.peerAddress(),
                            node.failureDomain().value(),
                            InstanceEntry.State.LIVE));
        }
    }

    private void awaitReady(int index) throws IOException, InterruptedException {
        try (StandInClient client = StandInClient.create()) {
            NodeProcess process = processes.get(index);
            if (!process.awaitOk(client, callerAddress(index), "/readyz", READY_TIMEOUT_MILLIS)) {
                throw new IOException("the node with index " + index + " exited or was not ready within "
                        + READY_TIMEOUT_MILLIS + " ms: " + process.output());
            }
        }
    }
}
