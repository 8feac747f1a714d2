package org.cactusshift.standin.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.cactusshift.config.ServiceConfig;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.id.ServiceId;
import org.cactusshift.standin.KeyValueSettings;
import org.cactusshift.standin.PlainServiceSettings;
import org.cactusshift.standin.engine.EngineTiming;

/**
 * The settings of a {@link StandInPlatform}.
 *
 * @param upstreams the upstreams that are started with the platform
 * @param engineTiming the rates and delays of the engines
 * @param plainService the settings of the instances of plain services
 * @param keyValue the settings of the key-value store
 * @param provisionMillis the time from an order to the start of its upstreams, in milliseconds
 * @param capacityPerFailureDomain the maximum number of ordered upstreams in each failure domain
 * @param instanceListLagMillis the time until a change is published in the list of instances, in milliseconds
 * @param weightLoadsPerSecond the rate limit of the weight store, in loads per second; 0 for none
 */
public record PlatformSettings(
        List<UpstreamSpec> upstreams,
        EngineTiming engineTiming,
        PlainServiceSettings plainService,
        KeyValueSettings keyValue,
        long provisionMillis,
        int capacityPerFailureDomain,
        long instanceListLagMillis,
        double weightLoadsPerSecond) {
    private static final long DEFAULT_PROVISION_MILLIS = 5000;

    private static final int DEFAULT_CAPACITY_PER_FAILURE_DOMAIN = 4;

    private static final long DEFAULT_INSTANCE_LIST_LAG_MILLIS = 1000;

    private static final double DEFAULT_WEIGHT_LOADS_PER_SECOND = 2;

    /** Copies the list. */
    public PlatformSettings {
        upstreams = List.copyOf(upstreams);
    }

    /**
     * Returns settings with the given upstreams and engine timing and the defaults for everything else.
     *
     * @param upstreams the upstreams that are started with the platform
     * @param engineTiming the rates and delays of the engines
     * @return the settings
     */
    public static PlatformSettings of(List<UpstreamSpec> upstreams, EngineTiming engineTiming) {
        return new PlatformSettings(
                upstreams,
                engineTiming,
                PlainServiceSettings.standard(),
                KeyValueSettings.unlimited(),
                DEFAULT_PROVISION_MILLIS,
                DEFAULT_CAPACITY_PER_FAILURE_DOMAIN,
                DEFAULT_INSTANCE_LIST_LAG_MILLIS,
                DEFAULT_WEIGHT_LOADS_PER_SECOND);
    }

    /**
     * Returns settings with the upstreams that a site's configuration declares. Their configured addresses are ignored.
     *
     * @param site the configuration
     * @param engineTiming the rates and delays of the engines
     * @return the settings
     */
    public static PlatformSettings forSite(SiteConfig site, EngineTiming engineTiming) {
        Map<ServiceId, ServiceConfig> services =
                site.services().stream().collect(Collectors.toMap(ServiceConfig::id, Function.identity()));
        List<UpstreamSpec> upstreams = site.upstreams().stream()
                .map(upstream -> UpstreamSpec.of(upstream, services.get(upstream.service())))
                .toList();
        return of(upstreams, engineTiming);
    }

    /**
     * Returns settings with a number of upstreams for each service, distributed round-robin over the failure domains.
     *
     * @param engineCountByModel the number of engines of each model
     * @param instanceCountByService the number of instances of each plain service
     * @param failureDomains the failure domains
     * @param engineTiming the rates and delays of the engines
     * @return the settings; the ids of the upstreams are {@code SERVICE-NUMBER}, from 1
     */
    public static PlatformSettings ofCounts(
            Map<String, Integer> engineCountByModel,
            Map<String, Integer> instanceCountByService,
            List<String> failureDomains,
            EngineTiming engineTiming) {
        List<UpstreamSpec> upstreams = new ArrayList<>();
        engineCountByModel.forEach((model, count) -> {
            for (int i = 0; i < count; i++) {
                String failureDomain = failureDomains.get(i % failureDomains.size());
                upstreams.add(UpstreamSpec.engine(model + "-" + (i + 1), model, failureDomain));
            }
        });
        instanceCountByService.forEach((service, count) -> {
            for (int i = 0; i < count; i++) {
                String failureDomain = failureDomains.get(i % failureDomains.size());
                upstreams.add(UpstreamSpec.plain(service + "-" + (i + 1), service, failureDomain));
            }
        });
        return of(upstreams, engineTiming);
    }

    /**
     * Returns these settings with other settings of the key-value store.
     *
     * @param keyValue the settings of the key-value store
     * @return the settings
     */
    public PlatformSettings withKeyValue(KeyValueSettings keyValue) {
        return new PlatformSettings(
                upstreams,
                engineTiming,
                plainService,
                keyValue,
                provisionMillis,
                capacityPerFailureDomain,
                instanceListLagMillis,
                weightLoadsPerSecond);
    }

    /**
     * Returns these settings with other delays of the platform.
     *
     * @param provisionMillis the time from an order to the start of its upstreams, in milliseconds
     * @param instanceListLagMillis the time until a change is published in the list of instances, in milliseconds
     * @return the settings
     */
    public PlatformSettings withDelays(long provisionMillis, long instanceListLagMillis) {
        return new PlatformSettings(
                upstreams,
                engineTiming,
                plainService,
                keyValue,
                provisionMillis,
                capacityPerFailureDomain,
                instanceListLagMillis,
                weightLoadsPerSecond);
    }
}
