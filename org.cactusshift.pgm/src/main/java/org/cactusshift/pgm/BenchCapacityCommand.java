package org.cactusshift.pgm;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.cactusshift.errors.CactusshiftException;
import org.cactusshift.pgm.bench.CapacityBench;
import org.cactusshift.pgm.bench.CapacityReport;
import org.cactusshift.pgm.bench.Scale;

/** Measures how the cost of each node role grows with the size of the site, and prints a linear fit of each measure. */
public final class BenchCapacityCommand implements Command {
    private static final String TINY = "tiny";

    @Override
    public String name() {
        return "bench capacity";
    }

    @Override
    public String summary() {
        return "measures how the cost of each role grows with the site";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(Option.builder()
                        .longOpt(TINY)
                        .desc("runs every probe briefly, at a hundredth of the size; its figures are meaningless")
                        .get())
                .addOption(CommonOptions.json());
    }

    @Override
    public int run(CommandLine line, Console console) throws CactusshiftException {
        CapacityReport report = CapacityBench.create()
                .setScale(line.hasOption(TINY) ? Scale.TINY : Scale.FULL)
                .call();
        if (line.hasOption("json")) {
            console.printJson(report);
        } else {
            console.out().printf("processors %d, load %.1f%n", report.processors(), report.loadAverage());
            console.printTable(report.rows());
        }
        return ExitStatus.SUCCESS;
    }
}
