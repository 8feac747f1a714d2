package org.cactusshift.pgm.bench;

import java.lang.management.ManagementFactory;
import java.lang.management.OperatingSystemMXBean;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;

/**
 * The measurements of a run, with their fits.
 *
 * @param processors the processors of the machine
 * @param loadAverage the load average of the machine over the last minute, negative if unknown
 * @param slopes the measurements, sorted by role
 */
public record CapacityReport(int processors, double loadAverage, List<ScalingMeasurement> slopes) {
    private static final double NO_DECIMALS_FROM = 1_000;
    private static final double ONE_DECIMAL_FROM = 1;

    /** Sorts the measurements by role. */
    public CapacityReport {
        slopes = slopes.stream()
                .sorted(Comparator.comparing(ScalingMeasurement::role))
                .toList();
    }

    static CapacityReport of(List<ScalingMeasurement> slopes) {
        OperatingSystemMXBean machine = ManagementFactory.getOperatingSystemMXBean();
        return new CapacityReport(machine.getAvailableProcessors(), machine.getSystemLoadAverage(), slopes);
    }

    /**
     * Returns the fits as rows of a table; the first row holds the column titles.
     *
     * @return the rows
     */
    public List<List<String>> rows() {
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("role", "measure", "per", "slope", "at 0", "residual", "8 nodes", "1,800 nodes"));
        for (ScalingMeasurement measurement : slopes) {
            LinearFit fit = measurement.fit();
            rows.add(List.of(
                    measurement.role().title(),
                    measurement.measure(),
                    measurement.per(),
                    format(fit.slope()),
                    format(fit.intercept()),
                    format(fit.residual()),
                    format(measurement.today()),
                    format(measurement.planned())));
        }
        return rows;
    }

    private static String format(double value) {
        if (Math.abs(value) >= NO_DECIMALS_FROM) {
            return String.format(Locale.ROOT, "%,.0f", value);
        }
        return String.format(Locale.ROOT, Math.abs(value) >= ONE_DECIMAL_FROM ? "%.1f" : "%.4f", value);
    }
}
