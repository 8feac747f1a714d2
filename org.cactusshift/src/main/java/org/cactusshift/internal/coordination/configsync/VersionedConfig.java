package org.cactusshift.internal.coordination.configsync;

import org.cactusshift.config.SiteConfig;

/**
 * A configuration in force at a node.
 *
 * @param version the version, which grows with each accepted change
 * @param config the configuration
 */
public record VersionedConfig(long version, SiteConfig config) {}
