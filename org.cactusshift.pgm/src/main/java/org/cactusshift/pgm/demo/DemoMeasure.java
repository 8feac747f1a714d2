package org.cactusshift.pgm.demo;

/**
 * One row of the demo's table.
 *
 * @param name the measure
 * @param value what was measured
 * @param stated what is demanded; empty when the row only informs
 * @param holds whether the demand is met
 */
record DemoMeasure(String name, String value, String stated, boolean holds) {
    static DemoMeasure atLeast(String name, double value, double bound) {
        return new DemoMeasure(name, format(value), ">= " + format(bound), value >= bound);
    }

    static DemoMeasure atMost(String name, double value, double bound) {
        return new DemoMeasure(name, format(value), "<= " + format(bound), value <= bound);
    }

    static DemoMeasure equal(String name, long value, long expected) {
        return new DemoMeasure(name, Long.toString(value), "= " + expected, value == expected);
    }

    static DemoMeasure informs(String name, double value) {
        return new DemoMeasure(name, format(value), "", true);
    }

    private static String format(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : String.format("%.3f", value);
    }
}
