package org.cactusshift.internal.coordination.configsync;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.cactusshift.config.AccountConfig;
import org.cactusshift.config.ExampleConfigs;
import org.cactusshift.config.KeyConfig;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.errors.InvalidConfigException;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.KeyId;
import org.cactusshift.id.UpstreamId;

/** Creates variations of the example configuration. */
final class SiteConfigs {
    private static final String HASH = "hmac-sha256:" + "ab".repeat(32);

    private SiteConfigs() {}

    static SiteConfig example() throws InvalidConfigException {
        return ExampleConfigs.site("be-coast");
    }

    /** Returns the configuration with the weight of an account changed. */
    static SiteConfig withWeight(SiteConfig config, String account, double weight) {
        return withAccounts(
                config,
                config.accounts().stream()
                        .map(a -> a.id().value().equals(account)
                                ? new AccountConfig(
                                        a.id(),
                                        weight,
                                        a.tokensPerSecond(),
                                        a.maximumConcurrentRequests(),
                                        a.services(),
                                        a.keys())
                                : a)
                        .toList());
    }

    /** Returns the configuration with a key revoked. */
    static SiteConfig withRevokedKey(SiteConfig config, String key) {
        return withAccounts(
                config,
                config.accounts().stream()
                        .map(a -> new AccountConfig(
                                a.id(),
                                a.weight(),
                                a.tokensPerSecond(),
                                a.maximumConcurrentRequests(),
                                a.services(),
                                a.keys().stream()
                                        .map(k ->
                                                k.id().value().equals(key) ? new KeyConfig(k.id(), k.hash(), true) : k)
                                        .toList()))
                        .toList());
    }

    /** Returns the configuration with the given number of accounts, of one key each, and of additional upstreams. */
    static SiteConfig withAccountsAndUpstreams(SiteConfig config, int accounts, int upstreams) {
        AccountConfig template = config.accounts().get(0);
        List<AccountConfig> many = IntStream.range(0, accounts)
                .mapToObj(i -> new AccountConfig(
                        AccountId.fromString(numberedId("account-", i)),
                        1,
                        template.tokensPerSecond(),
                        template.maximumConcurrentRequests(),
                        template.services(),
                        List.of(new KeyConfig(KeyId.fromString(numberedId("account-", i) + "-1"), HASH, false))))
                .toList();
        UpstreamConfig engine = config.upstreams().get(0);
        List<UpstreamConfig> allUpstreams = new ArrayList<>(config.upstreams());
        IntStream.range(0, upstreams)
                .mapToObj(i -> new UpstreamConfig(
                        // Sorts after the upstreams of the example.
                        UpstreamId.fromString(numberedId("zz-engine-", i)),
                        engine.service(),
                        engine.failureDomain(),
                        "10.0." + i / 250 + "." + i % 250 + ":8000",
                        engine.role(),
                        false,
                        false,
                        false,
                        1,
                        64))
                .forEach(allUpstreams::add);
        SiteConfig withAccounts = withAccounts(config, many);
        return new SiteConfig(
                1,
                config.site(),
                config.shutdownDate(),
                config.failureDomains(),
                withAccounts.accounts(),
                config.services(),
                allUpstreams,
                config.limits(),
                config.timing());
    }

    private static String numberedId(String prefix, int number) {
        return prefix + String.format("%05d", number);
    }

    private static SiteConfig withAccounts(SiteConfig config, List<AccountConfig> accounts) {
        return new SiteConfig(
                config.schemaVersion(),
                config.site(),
                config.shutdownDate(),
                config.failureDomains(),
                accounts,
                config.services(),
                config.upstreams(),
                config.limits(),
                config.timing());
    }
}
