package org.cactusshift.internal.coordination.configsync;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.internal.coordination.store.InMemoryKeyValueStore;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ConfigReplicaTest {
    private static final int ACCOUNTS = 300;

    private final ConfigReplica replica = new ConfigReplica();
    private ConfigRepository repository;
    private SiteConfig config;

    @BeforeEach
    void applyFirstVersion() throws Exception {
        config = SiteConfigs.withAccountsAndUpstreams(SiteConfigs.example(), ACCOUNTS, 0);
        repository = ConfigRepository.open(InMemoryKeyValueStore.create(() -> 0L), config.site());
        apply(config, 0);
    }

    @Test
    void installsHigherVersionsOnly() {
        ConfigBundle first = bundle();
        assertEquals(ConfigReplica.OfferResult.INSTALLED, replica.offer(first));
        apply(SiteConfigs.withWeight(config, "account-00003", 2), 1);
        assertEquals(ConfigReplica.OfferResult.INSTALLED, replica.offer(bundle()));
        assertEquals(ConfigReplica.OfferResult.NOT_NEWER, replica.offer(first));
        assertEquals(2, replica.version());
    }

    @Test
    void sendsOnlyTheChangedPartAndReusesTheOtherAccounts() throws IOException {
        replica.offer(bundle());
        SiteConfig before = replica.active().orElseThrow().config();
        ConfigReplica other = new ConfigReplica();
        other.offer(bundle());
        SiteConfig changed = SiteConfigs.withWeight(config, "account-00003", 2);
        apply(changed, 1);
        replica.offer(bundle());

        ConfigBundle partialBundle = replica.bundleFor(1).orElseThrow();
        assertEquals(1, partialBundle.parts().size());
        assertTrue(partialBundle.index().isEmpty(), "the index is derived from the head's delta");
        assertEquals(
                ConfigReplica.OfferResult.INSTALLED, other.offer(ConfigBundle.fromValues(partialBundle.toValues())));
        assertEquals(new VersionedConfig(2, changed), other.active().orElseThrow());
        SiteConfig after = replica.active().orElseThrow().config();
        long reused = after.accounts().stream()
                .filter(account -> before.accounts().stream().anyMatch(old -> old == account))
                .count();
        // Only the accounts in the changed part are new objects.
        assertTrue(reused >= ACCOUNTS * 3 / 4, () -> reused + " accounts are the same objects");
        assertTrue(replica.bundleFor(2).isEmpty());
    }

    @Test
    void sendsTheIndexToNodesMoreThanOneVersionBehind() {
        replica.offer(bundle());
        ConfigReplica other = new ConfigReplica();
        other.offer(bundle());
        apply(SiteConfigs.withWeight(config, "account-00003", 2), 1);
        SiteConfig last = SiteConfigs.withWeight(config, "account-00004", 3);
        apply(last, 2);
        replica.offer(bundle());

        ConfigBundle sent = replica.bundleFor(1).orElseThrow();
        assertTrue(sent.index().isPresent() && sent.parts().size() <= 2);
        assertEquals(ConfigReplica.OfferResult.INSTALLED, other.offer(sent));
        assertEquals(new VersionedConfig(3, last), other.active().orElseThrow());
    }

    @Test
    void deltaIsIncompleteForNodeWithoutBaseVersion() {
        replica.offer(bundle());
        apply(SiteConfigs.withWeight(config, "account-00003", 2), 1);
        replica.offer(bundle());

        assertEquals(
                ConfigReplica.OfferResult.INCOMPLETE,
                new ConfigReplica().offer(replica.bundleFor(1).orElseThrow()));
    }

    @ParameterizedTest
    @ValueSource(strings = {"{}", "null", "[]", "not json", "{\"accounts\":{\"a\":1}}"})
    void rejectsPartsThatDoNotMatchTheirDigest(String forged) {
        ConfigBundle bundle = bundle();
        for (String name : Set.copyOf(bundle.parts().keySet())) {
            TreeMap<String, byte[]> parts = new TreeMap<>(bundle.parts());
            parts.put(name, forged.getBytes(StandardCharsets.UTF_8));
            ConfigBundle corrupt = new ConfigBundle(bundle.head(), bundle.index(), parts);
            assertEquals(ConfigReplica.OfferResult.CORRUPT, replica.offer(corrupt));
        }
        assertEquals(0, replica.version());
    }

    @Test
    void rejectsIndexThatDoesNotMatchItsDigest() {
        ConfigBundle bundle = bundle();
        Optional<ConfigIndex> forged = Optional.of(ConfigIndex.EMPTY);

        assertEquals(
                ConfigReplica.OfferResult.CORRUPT,
                replica.offer(new ConfigBundle(bundle.head(), forged, bundle.parts())));
    }

    @Test
    void currentReturnsTheSameObjectUntilTheNextInstallation() {
        replica.offer(bundle());

        assertSame(replica.active().orElseThrow(), replica.active().orElseThrow());
    }

    private ConfigBundle bundle() {
        ConfigHead head = repository.readHead().get().orElseThrow();
        return repository.loadBundle(head, Optional.empty()).get();
    }

    private void apply(SiteConfig next, long baseVersion) {
        ApplyResult result = repository
                .apply()
                .setConfig(next)
                .setBaseVersion(baseVersion)
                .call()
                .get();
        assertEquals(ApplyResult.Outcome.APPLIED, result.outcome());
    }
}
