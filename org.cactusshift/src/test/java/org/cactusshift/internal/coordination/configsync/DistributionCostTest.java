package org.cactusshift.internal.coordination.configsync;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.internal.coordination.store.InMemoryKeyValueStore;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DistributionCostTest {
    /** The bytes sent to one node for one changed account must not grow in proportion to the number of accounts. */
    @ParameterizedTest
    @CsvSource({
        // accounts, upstreams, limit of the bytes of the change, limit of the bytes of the whole configuration
        "8, 0, 2500, 7000",
        "77, 0, 5500, 26000",
        "770, 0, 7000, 210000",
        "7700, 1100, 9000, 2300000",
    })
    void changeOfOneAccountSendsAtMostTheLimitOfBytes(
            int accounts, int upstreams, int changeLimitBytes, int wholeLimitBytes) throws Exception {
        SiteConfig config = SiteConfigs.withAccountsAndUpstreams(SiteConfigs.example(), accounts, upstreams);
        ConfigRepository repository = ConfigRepository.open(InMemoryKeyValueStore.create(() -> 0L), config.site());
        ConfigReplica replica = new ConfigReplica();
        install(repository, replica, config, 0);
        int wholeBytes = bytes(replica.bundleFor(0).orElseThrow());
        install(repository, replica, SiteConfigs.withWeight(config, "account-00003", 2), 1);
        int changeBytes = bytes(replica.bundleFor(1).orElseThrow());
        assertTrue(changeBytes <= changeLimitBytes, () -> changeBytes + " bytes for one changed account");
        assertTrue(wholeBytes <= wholeLimitBytes, () -> wholeBytes + " bytes for the whole configuration");
    }

    private static void install(
            ConfigRepository repository, ConfigReplica replica, SiteConfig config, long baseVersion) {
        repository.apply().setConfig(config).setBaseVersion(baseVersion).call().get();
        replica.offer(repository
                .loadBundle(repository.readHead().get().orElseThrow(), Optional.empty())
                .get());
    }

    private static int bytes(ConfigBundle bundle) {
        return bundle.toValues().values().stream()
                .mapToInt(value -> value.length)
                .sum();
    }
}
