package org.cactusshift.pgm.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.cactusshift.errors.CactusshiftException;

/** Runs the probes of all roles, one after the other, and collects their measurements. */
public final class CapacityBench {
    private Scale scale = Scale.FULL;

    private CapacityBench() {}

    /**
     * Returns a benchmark that measures at full scale.
     *
     * @return the benchmark
     */
    public static CapacityBench create() {
        return new CapacityBench();
    }

    /**
     * Sets the scale.
     *
     * @param newScale the scale
     * @return this
     */
    public CapacityBench setScale(Scale newScale) {
        scale = Objects.requireNonNull(newScale, "newScale");
        return this;
    }

    /**
     * Runs all probes.
     *
     * @return the measurements, sorted by role
     * @throws CactusshiftException if a component to measure can't be started
     */
    public CapacityReport call() throws CactusshiftException {
        List<Probe> probes = List.of(
                new DispatchProbe(),
                new KeyProbe(),
                new LoadPollProbe(),
                new ConfigProbe(),
                new UsageRecordProbe(),
                new UsageWriteProbe(),
                new ClaimProbe(),
                new OrderProbe(),
                new DutyProbe(),
                new HeartbeatProbe(),
                new PeerSelectionProbe(),
                new MembershipProbe());
        List<ScalingMeasurement> measurements = new ArrayList<>();
        for (Probe probe : probes) {
            measurements.addAll(probe.measure(scale));
        }
        return CapacityReport.of(measurements);
    }
}
