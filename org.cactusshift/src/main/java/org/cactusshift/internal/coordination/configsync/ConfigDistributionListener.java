package org.cactusshift.internal.coordination.configsync;

/** Receives what the distributor learns, in the order in which it learns it. */
public interface ConfigDistributionListener {
    /**
     * Reports a head of a version that is not installed yet; runs before its parts are read.
     *
     * @param head the head
     */
    void onNewerHead(ConfigHead head);

    /**
     * Reports that a version is installed.
     *
     * @param installed the configuration
     */
    void onInstalled(VersionedConfig installed);

    /**
     * Reports that the head was read in the key-value service.
     *
     * @param sentMillis when the read was sent, monotonic clock
     * @param version the version found; 0 when there is none
     */
    void onStoreContact(long sentMillis, long version);
}
