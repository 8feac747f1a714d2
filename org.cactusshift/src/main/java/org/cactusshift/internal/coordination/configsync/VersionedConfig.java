package org.cactusshift.internal.coordination.configsync;

import org.cactusshift.config.SiteConfig;

/**
 * A site configuration with its version.
 *
 * @param version the version, which increases by one with each accepted change
 * @param config the configuration
 */
public record VersionedConfig(long version, SiteConfig config) {}
