package org.cactusshift.config;

import java.time.LocalDate;
import java.util.List;
import org.cactusshift.id.SiteId;

/**
 * The configuration of one site: the base file merged with the overlay of the site.
 *
 * @param schemaVersion the version of the file format, 1
 * @param site the site
 * @param shutdownDate the announced date on which the site is shut down
 * @param failureDomains the failure domains of the site
 * @param accounts the client accounts
 * @param services the models and plain services
 * @param upstreams the declared upstreams
 * @param limits the limits on requests and nodes
 * @param timing the periods and timeouts
 */
public record SiteConfig(
        int schemaVersion,
        SiteId site,
        LocalDate shutdownDate,
        List<FailureDomainConfig> failureDomains,
        List<AccountConfig> accounts,
        List<ServiceConfig> services,
        List<UpstreamConfig> upstreams,
        LimitsConfig limits,
        TimingConfig timing) {
    /** Copies the lists. */
    public SiteConfig {
        failureDomains = List.copyOf(failureDomains);
        accounts = List.copyOf(accounts);
        services = List.copyOf(services);
        upstreams = List.copyOf(upstreams);
    }
}
