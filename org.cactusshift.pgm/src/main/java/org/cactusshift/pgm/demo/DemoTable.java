package org.cactusshift.pgm.demo;

import java.io.PrintStream;
import java.util.List;

/** Prints the metrics as one table. Names of up to 34 characters keep it within 80 columns. */
final class DemoTable {
    private static final String ROW = "%-34s %12s %12s  %s%n";

    private DemoTable() {}

    static void print(List<DemoMetric> rows, PrintStream out) {
        out.printf(ROW, "measure", "measured", "stated", "holds");
        for (DemoMetric row : rows) {
            String met = row.isMet() ? "yes" : "NO";
            out.printf(
                    ROW,
                    row.name(),
                    row.value(),
                    row.requirement(),
                    row.requirement().isEmpty() ? "" : met);
        }
    }
}
