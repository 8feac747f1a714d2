package org.cactusshift.pgm.demo;

/**
 * One row of the demo's table.
 *
 * @param name the measure
 * @param value what was measured
 * @param requirement what is demanded; empty when the row only informs
 * @param isMet whether the demand is met
 */
record DemoMetric(String name, String value, String requirement, boolean isMet) {
    static DemoMetric atLeast(String name, double value, double bound) {
        return new DemoMetric(name, format(value), ">= " + format(bound), value >= bound);
    }

    static DemoMetric atMost(String name, double value, double bound) {
        return new DemoMetric(name, format(value), "<= " + format(bound), value <= bound);
    }

    static DemoMetric equal(String name, long value, long expected) {
        return new DemoMetric(name, Long.toString(value), "= " + expected, value == expected);
    }

    static DemoMetric informational(String name, double value) {
        return new DemoMetric(name, format(value), "", true);
    }

    private static String format(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : String.format("%.3f", value);
    }
}
