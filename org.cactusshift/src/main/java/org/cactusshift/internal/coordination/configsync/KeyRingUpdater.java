package org.cactusshift.internal.coordination.configsync;

import org.cactusshift.config.TimingConfig;
import org.cactusshift.internal.coordination.key.KeyFreshness;
import org.cactusshift.internal.coordination.key.KeyRing;

/**
 * Updates the key ring of a node from the configuration; the revocations in a new head take effect before its parts are
 * read.
 */
public final class KeyRingUpdater implements ConfigDistributionListener {
    private final KeyRing keyRing;
    private final KeyFreshness freshness;

    private KeyRingUpdater(KeyRing keyRing, KeyFreshness freshness) {
        this.keyRing = keyRing;
        this.freshness = freshness;
    }

    /**
     * Returns an updater of a node's key ring.
     *
     * @param keyRing the key ring
     * @param freshness decides whether the key ring is fresh enough to accept keys
     * @return the updater
     */
    public static KeyRingUpdater of(KeyRing keyRing, KeyFreshness freshness) {
        return new KeyRingUpdater(keyRing, freshness);
    }

    @Override
    public void onNewerHead(ConfigHead head) {
        keyRing.revoke(head.version(), head.withdrawnKeys());
    }

    @Override
    public void onInstalled(VersionedConfig installed) {
        keyRing.install(installed.version(), installed.config());
        TimingConfig timing = installed.config().timing();
        freshness.setTimeLimits(timing.keyFreshnessMillis(), timing.suspicionMillis());
        freshness.onInstalled(installed.version());
    }

    @Override
    public void onStoreContact(long sentMillis, long version) {
        freshness.onStoreContact(sentMillis, version);
    }
}
