package org.cactusshift.internal.coordination.configsync;

import org.cactusshift.config.TimingConfig;
import org.cactusshift.internal.coordination.key.KeyFreshness;
import org.cactusshift.internal.coordination.key.KeyRing;

/** Keeps the keys of a node in step with the configuration; withdrawals take effect before the parts are read. */
public final class KeyRingUpdater implements ConfigDistributionListener {
    private final KeyRing keys;
    private final KeyFreshness freshness;

    private KeyRingUpdater(KeyRing keys, KeyFreshness freshness) {
        this.keys = keys;
        this.freshness = freshness;
    }

    /**
     * Returns the events for a node's keys.
     *
     * @param keys the verifier
     * @param freshness the rule of the verifier
     * @return the events
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
