package org.cactusshift.config;

import org.cactusshift.id.FailureDomainId;

/**
 * A failure domain of the site.
 *
 * @param id the failure domain
 * @param maximumUpstreams the most upstreams that may be ordered there
 */
public record FailureDomainConfig(FailureDomainId id, int maximumUpstreams) {}
