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
    public List<ScalingMeasurement> measure(Scale scale) {
        List<Sample> tableBytes = new ArrayList<>();
        List<Sample> installCpu = new ArrayList<>();
        for (int accounts : scale.sizes(770, 3_850, 7_700)) {
            SiteConfig config = BenchSite.config(accounts, 0, "");
            tableBytes.add(new Sample(accounts, Meter.retainedBytes(() -> installed(config))));
            KeyRing ring = installed(config);
            AtomicLong version = new AtomicLong(1);
            double micros = Meter.cpuMicros(scale.repeats(), () -> ring.install(version.incrementAndGet(), config));
            installCpu.add(new Sample(accounts, micros));
        }
        return List.of(
                measurement("key table, bytes", tableBytes),
                measurement("key table, CPU us of an installation", installCpu));
    }

    private static ScalingMeasurement measurement(String measure, List<Sample> samples) {
        return new ScalingMeasurement(
                NodeRole.GATEWAY, measure, "account", SiteSizes.ACCOUNTS_TODAY, SiteSizes.ACCOUNTS_PLANNED, samples);
    }

    private static KeyRing installed(SiteConfig config) {
        KeyRing ring = KeyRing.create(HASHER, freshness());
        ring.install(1, config);
        return ring;
    }

    static KeyFreshness freshness() {
        return KeyFreshness.create(
                BenchSite.instance(0),
                BenchSite.failureDomain(0),
                NodeDefaults.TIMING.keyFreshnessMillis(),
                NodeDefaults.TIMING.suspicionMillis());
    }

    static KeyHasher hasher() {
        return HASHER;
    }
}
