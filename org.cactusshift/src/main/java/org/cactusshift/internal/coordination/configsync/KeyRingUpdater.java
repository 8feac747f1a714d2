package org.cactusshift.internal.coordination.configsync;

import org.cactusshift.config.TimingConfig;
import org.cactusshift.internal.coordination.key.KeyFreshness;
import org.cactusshift.internal.coordination.key.KeyRing;

/** Updates the key ring of a node from the configuration; revocations take effect before the parts are read. */
public final class KeyRingUpdater implements ConfigDistributionListener {
    private final KeyRing keys;
    private final KeyFreshness freshness;

    private KeyRingUpdater(KeyRing keys, KeyFreshness freshness) {
        this.keys = keys;
        this.freshness = freshness;
    }

    /**
     * Returns an updater of a node's key ring.
     *
     * @param keys the key ring
     * @param freshness the freshness of the key ring
     * @return the updater
     */
    public static KeyRingUpdater of(KeyRing keys, KeyFreshness freshness) {
        return new KeyRingUpdater(keys, freshness);
    }

    @Override
    public void onNewerHead(ConfigHead head) {
        keys.revoke(head.version(), head.withdrawnKeys());
    }

    @Override
    public void onInstalled(VersionedConfig installed) {
        keys.install(installed.version(), installed.config());
        TimingConfig timing = installed.config().timing();
        freshness.setTimeLimits(timing.keyFreshnessMillis(), timing.suspicionMillis());
        freshness.onInstalled(installed.version());
    }

    @Override
    public void onStoreContact(long sentMillis, long version) {
        freshness.onStoreContact(sentMillis, version);
    }
}
