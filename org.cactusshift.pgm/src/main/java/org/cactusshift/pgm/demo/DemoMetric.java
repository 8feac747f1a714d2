package org.cactusshift.pgm.demo;

/**
 * A measured value of the demo and its requirement, a row of the table.
 *
 * @param name the name of the value
 * @param value the measured value
 * @param requirement the required bound; empty for an informational row
 * @param isMet whether the requirement is met; true for an informational row
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
