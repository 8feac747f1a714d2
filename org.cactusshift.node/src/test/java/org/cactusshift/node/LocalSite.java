package org.cactusshift.node;

import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import org.cactusshift.config.AccountConfig;
import org.cactusshift.config.ConfigLoader;
import org.cactusshift.config.KeyConfig;
import org.cactusshift.config.NodeSettings;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.errors.CactusshiftException;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.KeyId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.internal.coordination.configsync.ApplyResult;
import org.cactusshift.internal.coordination.configsync.ConfigRepository;
import org.cactusshift.internal.coordination.key.ClientKey;
import org.cactusshift.internal.coordination.key.KeyHasher;
import org.cactusshift.internal.transport.store.EtcdKeyValueStore;
import org.cactusshift.internal.transport.store.EtcdStoreSettings;
import org.cactusshift.standin.engine.EngineTiming;
import org.cactusshift.standin.platform.PlatformSettings;
import org.cactusshift.standin.platform.StandInPlatform;

/**
 * Runs the example site be-coast in the test process: nodes, and stand-ins for the platform, the key-value store and
 * the upstreams.
 */
final class LocalSite implements AutoCloseable {
    private static final String KEY_HASH_SECRET_HEX = "00112233445566778899aabbccddeeff";
    private static final String ANY_PORT = "127.0.0.1:0";
    private static final int AWAIT_MAXIMUM_POLLS = 1_000;
    private static final long POLL_MILLIS = 20;

    private final KeyHasher hasher = KeyHasher.fromHex(KEY_HASH_SECRET_HEX);
    private final StandInPlatform platform;
    private final ClientKey key = KeyHasher.generate(KeyId.fromString("test-key"), new SecureRandom());
    private final List<Node> nodes = new ArrayList<>();
    private SiteConfig config;
    private long configVersion;

    private LocalSite(StandInPlatform platform, SiteConfig declared) {
        this.platform = platform;
        this.config = withTestKey(platform.withStandInAddresses(declared), false);
    }

    static LocalSite start(int nodeCount) throws CactusshiftException, IOException {
        return start(nodeCount, EngineTiming.fast());
    }

    static LocalSite start(int nodeCount, EngineTiming engineTiming) throws CactusshiftException, IOException {
        Path examples = Path.of("..", "examples");
        SiteConfig declared = ConfigLoader.create()
                .load(
                        examples.resolve("base.json"),
                        examples.resolve("overlays").resolve("be-coast.json"));
        StandInPlatform platform = StandInPlatform.create(PlatformSettings.forSite(declared, engineTiming));
        platform.start();
        LocalSite site = new LocalSite(platform, declared);
        site.applyConfig();
        for (int i = 0; i < nodeCount; i++) {
            site.nodes.add(Node.start(site.settings(i)));
        }
        for (Node node : site.nodes) {
            await(node::isReady);
        }
        return site;
    }

    static void await(BooleanSupplier condition) {
        for (int i = 0; i < AWAIT_MAXIMUM_POLLS && !condition.getAsBoolean(); i++) {
            try {
                Thread.sleep(POLL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (!condition.getAsBoolean()) {
            throw new AssertionError("the condition did not come true");
        }
    }

    /** Applies a change to the configuration and stores it as the next version. */
    void applyChange(UnaryOperator<SiteConfig> change) {
        config = change.apply(config);
        applyConfig();
    }

    void revokeKey() {
        applyChange(current -> withTestKey(current, true));
    }

    private void applyConfig() {
        try (EtcdKeyValueStore store = EtcdKeyValueStore.create(EtcdStoreSettings.forAddresses(
                List.of(platform.keyValueService().address())))) {
            ApplyResult result = ConfigRepository.open(store, config.site())
                    .apply()
                    .setConfig(config)
                    .setBaseVersion(configVersion)
                    .call()
                    .get();
            configVersion = result.version();
        }
    }

    /**
     * Returns the configuration with the test key as the only key of the first client account that may call settle-app.
     */
    private SiteConfig withTestKey(SiteConfig siteConfig, boolean revoked) {
        List<AccountConfig> accounts = new ArrayList<>(siteConfig.accounts());
        ServiceId settleApp = ServiceId.fromString("settle-app");
        int index = 0;
        while (!accounts.get(index).services().contains(settleApp)) {
            index++;
        }
        AccountConfig account = accounts.get(index);
        accounts.set(
                index,
                new AccountConfig(
                        account.id(),
                        account.weight(),
                        account.tokensPerSecond(),
                        account.maximumConcurrentRequests(),
                        account.services(),
                        List.of(new KeyConfig(key.id(), hasher.hash(key), revoked))));
        return new SiteConfig(
                siteConfig.schemaVersion(),
                siteConfig.site(),
                siteConfig.shutdownDate(),
                siteConfig.failureDomains(),
                accounts,
                siteConfig.services(),
                siteConfig.upstreams(),
                siteConfig.limits(),
                siteConfig.timing());
    }

    private NodeSettings settings(int index) {
        return new NodeSettings(
                InstanceId.fromString("entry-" + index),
                config.site(),
                config.failureDomains()
                        .get(index % config.failureDomains().size())
                        .id(),
                ANY_PORT,
                ANY_PORT,
                ANY_PORT,
                nodes.stream().map(Node::peerAddress).toList(),
                List.of(platform.keyValueService().address()),
                Optional.of(platform.instanceList().address()),
                Optional.of(platform.orderingService().address()),
                Optional.of(platform.usageService().address()),
                Optional.empty(),
                Optional.empty(),
                KEY_HASH_SECRET_HEX,
                Optional.empty());
    }

    List<Node> nodes() {
        return nodes;
    }

    StandInPlatform platform() {
        return platform;
    }

    SiteConfig config() {
        return config;
    }

    String bearerToken() {
        return key.toBearer();
    }

    @Override
    public void close() {
        nodes.forEach(Node::stop);
        platform.close();
    }
}
