package org.cactusshift.pgm.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.internal.coordination.key.KeyFreshness;
import org.cactusshift.internal.coordination.key.KeyHasher;
import org.cactusshift.internal.coordination.key.KeyRing;
import org.cactusshift.node.internal.NodeDefaults;

/** Measures the memory of the key table and the CPU time of its installation on a change of the configuration. */
final class KeyProbe implements Probe {
    private static final KeyHasher HASHER = KeyHasher.fromHex("ab".repeat(32));

    @Override
    public List<Slope> measure(Scale scale) {
        List<Sample> state = new ArrayList<>();
        List<Sample> install = new ArrayList<>();
        for (int accounts : scale.sizes(770, 3_850, 7_700)) {
            SiteConfig site = BenchSite.config(accounts, 0, "");
            state.add(new Sample(accounts, Meter.retainedBytes(() -> installed(site))));
            KeyRing ring = installed(site);
            AtomicLong version = new AtomicLong(1);
            double micros = Meter.cpuMicros(scale.repeats(), () -> ring.install(version.incrementAndGet(), site));
            install.add(new Sample(accounts, micros));
        }
        return List.of(slope("key table, bytes", state), slope("key table, CPU us of an installation", install));
    }

    private static Slope slope(String measure, List<Sample> samples) {
        return new Slope(Role.GATEWAY, measure, "account", SiteSizes.ACCOUNTS_TODAY, SiteSizes.ACCOUNTS, samples);
    }

    private static KeyRing installed(SiteConfig site) {
        KeyRing ring = KeyRing.create(HASHER, freshness());
        ring.install(1, site);
        return ring;
    }

    static KeyFreshness freshness() {
        return KeyFreshness.create(
                BenchSite.instance(0),
                BenchSite.domain(0),
                NodeDefaults.TIMING.keyFreshnessMillis(),
                NodeDefaults.TIMING.suspicionMillis());
    }

    static KeyHasher hasher() {
        return HASHER;
    }
}
