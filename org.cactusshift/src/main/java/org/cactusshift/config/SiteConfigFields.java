package org.cactusshift.config;

import java.util.List;

/** Names of top-level fields of the site configuration file format. */
public final class SiteConfigFields {
    /** The client accounts, by id. */
    public static final String ACCOUNTS = "accounts";

    /** The services, by id. */
    public static final String SERVICES = "services";

    /** The upstreams, by id. */
    public static final String UPSTREAMS = "upstreams";

    /** The failure domains, by id. */
    public static final String FAILURE_DOMAINS = "failureDomains";

    /** The fields whose items are keyed by id. */
    static final List<String> KEYED_BY_ID = List.of(FAILURE_DOMAINS, ACCOUNTS, SERVICES, UPSTREAMS);

    private SiteConfigFields() {}
}
