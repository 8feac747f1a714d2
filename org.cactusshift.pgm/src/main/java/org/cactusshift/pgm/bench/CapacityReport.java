package org.cactusshift.pgm.bench;

import java.lang.management.ManagementFactory;
import java.lang.management.OperatingSystemMXBean;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;

/**
 * The slopes that a run measured.
 *
 * @param processors the processors of the machine
 * @param loadAverage the load of the machine over the last minute, negative if unknown
 * @param slopes the slopes, sorted by role
 */
public record CapacityReport(int processors, double loadAverage, List<Slope> slopes) {
    private static final double LARGE = 1_000;
    private static final double SMALL = 1;

    /** Sorts the slopes by role. */
    public CapacityReport {
        slopes = slopes.stream().sorted(Comparator.comparing(Slope::role)).toList();
    }

    static CapacityReport of(List<Slope> slopes) {
        OperatingSystemMXBean machine = ManagementFactory.getOperatingSystemMXBean();
        return new CapacityReport(machine.getAvailableProcessors(), machine.getSystemLoadAverage(), slopes);
    }

    /**
     * Returns the slopes as rows of a table; the first row holds the column titles.
     *
     * @return the rows
     */
    public List<List<String>> rows() {
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("role", "measure", "per", "slope", "at 0", "residual", "8 nodes", "1,800 nodes"));
        for (Slope slope : slopes) {
            LinearFit fit = slope.fit();
            rows.add(List.of(
                    slope.role().title(),
                    slope.measure(),
                    slope.per(),
                    number(fit.slope()),
                    number(fit.intercept()),
                    number(fit.residual()),
                    number(slope.today()),
                    number(slope.planned())));
        }
        return rows;
    }

    private static String number(double value) {
        if (Math.abs(value) >= LARGE) {
            return String.format(Locale.ROOT, "%,.0f", value);
        }
        return String.format(Locale.ROOT, Math.abs(value) >= SMALL ? "%.1f" : "%.4f", value);
    }
}
