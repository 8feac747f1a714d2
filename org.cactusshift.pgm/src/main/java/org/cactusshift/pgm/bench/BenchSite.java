package org.cactusshift.pgm.bench;

import java.time.LocalDate;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.stream.IntStream;
import org.cactusshift.config.AccountConfig;
import org.cactusshift.config.FailureDomainConfig;
import org.cactusshift.config.KeyConfig;
import org.cactusshift.config.ServiceConfig;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.KeyId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.SiteId;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.dispatch.EngineLoad;
import org.cactusshift.internal.coordination.lease.DutyHolder;
import org.cactusshift.internal.coordination.membership.Member;
import org.cactusshift.node.internal.NodeDefaults;

/** Creates configurations, load reports, duty holders and members in any number, with ids of realistic length. */
final class BenchSite {
    static final SiteId SITE = SiteId.fromString("be-coast");
    static final ServiceId MODEL = ServiceId.fromString("model-00");
    static final LongSupplier MONOTONIC_MILLIS = () -> System.nanoTime() / 1_000_000;

    private static final int KV_CACHE_BLOCKS = 64;
    private static final int PREFILL_TOKENS_PER_SECOND = 8_000;
    private static final int DECODE_TOKENS_PER_SECOND = 40;

    private BenchSite() {}

    static SiteConfig config(int accounts, int engines, String engineAddress) {
        return new SiteConfig(
                1,
                SITE,
                LocalDate.of(2028, 12, 31),
                IntStream.range(0, SiteSizes.FAILURE_DOMAINS_PLANNED)
                        .mapToObj(i -> new FailureDomainConfig(failureDomain(i), SiteSizes.ENGINES_PLANNED))
                        .toList(),
                IntStream.range(0, accounts).mapToObj(i -> account(i, 1)).toList(),
                List.of(new ServiceConfig(MODEL, ServiceConfig.Kind.MODEL, "2026-10", false, true, List.of())),
                IntStream.range(0, engines)
                        .mapToObj(i -> engine(i, engineAddress))
                        .toList(),
                NodeDefaults.LIMITS,
                NodeDefaults.TIMING);
    }

    /** Returns the configuration with the weight of one account changed. */
    static SiteConfig withWeight(SiteConfig config, int account, double weight) {
        return new SiteConfig(
                config.schemaVersion(),
                config.site(),
                config.shutdownDate(),
                config.failureDomains(),
                config.accounts().stream()
                        .map(existing -> existing.id().equals(accountId(account)) ? account(account, weight) : existing)
                        .toList(),
                config.services(),
                config.upstreams(),
                config.limits(),
                config.timing());
    }

    private static AccountConfig account(int number, double weight) {
        AccountId id = accountId(number);
        KeyConfig key =
                new KeyConfig(KeyId.fromString(id + "-1"), "hmac-sha256:" + String.format("%064x", number), false);
        // Limits of 40,000 tokens per second and 32 concurrent requests.
        return new AccountConfig(id, weight, 40_000, 32, List.of(MODEL), List.of(key));
    }

    static AccountId accountId(int number) {
        return AccountId.fromString(String.format("account-%05d", number));
    }

    static UpstreamConfig engine(int number, String address) {
        return new UpstreamConfig(
                UpstreamId.fromString(String.format("engine-%05d", number)),
                MODEL,
                failureDomain(number % SiteSizes.FAILURE_DOMAINS_PLANNED),
                address,
                UpstreamConfig.Role.MIXED,
                false,
                true,
                false,
                1,
                KV_CACHE_BLOCKS);
    }

    static EngineLoad load(long nowMillis, long queuedPrefillTokens) {
        // A batch of 8 running requests and no waiting ones.
        return new EngineLoad(
                nowMillis,
                8,
                0,
                queuedPrefillTokens,
                KV_CACHE_BLOCKS / 2,
                KV_CACHE_BLOCKS,
                PREFILL_TOKENS_PER_SECOND,
                DECODE_TOKENS_PER_SECOND,
                UpstreamConfig.Role.MIXED,
                false,
                1);
    }

    static FailureDomainId failureDomain(int number) {
        return FailureDomainId.fromString(String.format("domain-%02d", number));
    }

    static InstanceId instance(int number) {
        return InstanceId.fromString(String.format("entry-%04d", number));
    }

    static IncarnationId incarnation(int number) {
        return IncarnationId.fromString(String.format("%016x", number));
    }

    static String peerAddress(int number) {
        return "10.1." + number / 250 + "." + number % 250 + ":7000";
    }

    static DutyHolder holder(int number) {
        return new DutyHolder(instance(number), incarnation(number), peerAddress(number), 1_000_000_000L + number);
    }

    /** Returns live members, in round-robin order over the failure domains. */
    static List<Member> members(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> new Member(
                        instance(i),
                        failureDomain(i % SiteSizes.FAILURE_DOMAINS_PLANNED),
                        peerAddress(i),
                        Optional.of(incarnation(i)),
                        Member.State.LIVE))
                .toList();
    }
}
