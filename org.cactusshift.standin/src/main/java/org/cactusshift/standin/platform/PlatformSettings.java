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
 * @param upstreams the upstreams to start with
 * @param engineTiming the rates and delays of every engine
 * @param plainService the settings of every plain instance
 * @param keyValue the settings of the key-value service
 * @param provisionMillis how long an order for upstreams stays pending, in milliseconds
 * @param capacityPerFailureDomain how many ordered upstreams each failure domain has room for
 * @param instanceListLagMillis how late the list of instances is, in milliseconds
 * @param weightLoadsPerSecond the limit of the weight store; 0 for none
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

    private static final int DEFAULT_CAPACITY = 4;

    private static final long DEFAULT_LIST_LAG_MILLIS = 1000;

    private static final double DEFAULT_LOADS_PER_SECOND = 2;

    /** Copies the list. */
    public PlatformSettings {
        upstreams = List.copyOf(upstreams);
    }

    /**
     * Returns settings with the usual delays.
     *
     * @param upstreams the upstreams to start with
     * @param engineTiming the rates and delays of every engine
     * @return the settings
     */
    public static PlatformSettings of(List<UpstreamSpec> upstreams, EngineTiming engineTiming) {
        return new PlatformSettings(
                upstreams,
                engineTiming,
                PlainServiceSettings.standard(),
                KeyValueSettings.unlimited(),
                DEFAULT_PROVISION_MILLIS,
                DEFAULT_CAPACITY,
                DEFAULT_LIST_LAG_MILLIS,
                DEFAULT_LOADS_PER_SECOND);
    }

    /**
     * Returns settings with the upstreams that a site's configuration declares, whatever their addresses there.
     *
     * @param site the configuration
     * @param engineTiming the rates and delays of every engine
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
     * Returns settings with a number of upstreams of each service, spread over failure domains in turn.
     *
     * @param engines the number of engines by model
     * @param plainInstances the number of instances by plain service
     * @param failureDomains the failure domains
     * @param engineTiming the rates and delays of every engine
     * @return the settings; upstreams are named {@code SERVICE-NUMBER}, from 1
     */
    public static PlatformSettings ofCounts(
            Map<String, Integer> engines,
            Map<String, Integer> plainInstances,
            List<String> failureDomains,
            EngineTiming engineTiming) {
        List<UpstreamSpec> upstreams = new ArrayList<>();
        engines.forEach((service, count) -> {
            for (int i = 0; i < count; i++) {
                String failureDomain = failureDomains.get(i % failureDomains.size());
                upstreams.add(UpstreamSpec.engine(service + "-" + (i + 1), service, failureDomain));
            }
        });
        plainInstances.forEach((service, count) -> {
            for (int i = 0; i < count; i++) {
                String failureDomain = failureDomains.get(i % failureDomains.size());
                upstreams.add(UpstreamSpec.plain(service + "-" + (i + 1), service, failureDomain));
            }
        });
        return of(upstreams, engineTiming);
    }

    /**
     * Returns these settings with another key-value service.
     *
     * @param keyValue its settings
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
     * @param provisionMillis how long an order for upstreams stays pending, in milliseconds
     * @param instanceListLagMillis how late the list of instances is, in milliseconds
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
