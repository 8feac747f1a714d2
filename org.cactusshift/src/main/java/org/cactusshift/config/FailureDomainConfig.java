package org.cactusshift.config;

import org.cactusshift.id.FailureDomainId;

/**
 * The configuration of a failure domain.
 *
 * @param id the failure domain
 * @param maximumUpstreams the maximum number of upstreams that may be declared or ordered in the failure domain
 */
public record FailureDomainConfig(FailureDomainId id, int maximumUpstreams) {}
