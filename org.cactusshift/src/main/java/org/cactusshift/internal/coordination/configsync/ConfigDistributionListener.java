package org.cactusshift.internal.coordination.configsync;

/** Receives the events of a {@link ConfigDistributor}; called on several threads. */
public interface ConfigDistributionListener {
    /**
     * Called with the head of a version that is not installed yet, before its parts are read; possibly more than
     * once for one head.
     *
     * @param head the head of the newer version
     */
    void onNewerHead(ConfigHead head);

    /**
     * Called after a version was installed.
     *
     * @param installed the installed configuration
     */
    void onInstalled(VersionedConfig installed);

    /**
     * Called after the head was read from the key-value store.
     *
     * @param sentMillis the time at which the read was sent, monotonic, in milliseconds
     * @param version the version of the head; 0 when there is no head
     */
    void onStoreContact(long sentMillis, long version);
}
