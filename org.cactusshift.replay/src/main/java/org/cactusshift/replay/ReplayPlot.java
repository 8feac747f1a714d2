package org.cactusshift.replay;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.ToDoubleFunction;
import org.cactusshift.errors.Failure;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Plots the goodput share, the worst-account measure and the number of engines in each role over time. */
public final class ReplayPlot {
    private static final int WIDTH_PIXELS = 900;
    private static final int HEIGHT_PIXELS = 420;

    private final ReplayReport report;

    private ReplayPlot(ReplayReport report) {
        this.report = Objects.requireNonNull(report, "report");
    }

    /**
     * Returns the plot of a report.
     *
     * @param report the report
     * @return the plot
     */
    public static ReplayPlot create(ReplayReport report) {
        return new ReplayPlot(report);
    }

    /**
     * Writes the plots as PNG images.
     *
     * @param directory the target directory; created if it does not exist
     * @return the written files, or the failure
     */
    public Either<Failure, List<Path>> write(Path directory) {
        System.setProperty("java.awt.headless", "true");
        try {
            Files.createDirectories(directory);
            List<Path> files = new ArrayList<>();
            files.add(write(directory, "goodput", "share of requests", ReplayPlot::goodputShare));
            files.add(write(directory, "worst-account", "over the mean", point -> point.worstAccount()));
            files.add(write(directory, "prefill-engines", "engines", point -> point.prefillEngines()));
            files.add(write(directory, "decode-engines", "engines", point -> point.decodeEngines()));
            return Either.right(files);
        } catch (IOException e) {
            return Either.left(Failure.unknownEffect("write plot", "local", directory + ": " + e));
        }
    }

    private static double goodputShare(PolicyResult.TimelinePoint point) {
        return point.requests() == 0 ? 0 : (double) point.goodput() / point.requests();
    }

    private Path write(Path directory, String name, String unit, ToDoubleFunction<PolicyResult.TimelinePoint> value)
            throws IOException {
        XYSeriesCollection dataset = new XYSeriesCollection();
        for (PolicyResult result : report.results()) {
            XYSeries series = new XYSeries(result.policy());
            result.timeline().forEach(point -> series.add(point.atMillis() / 1_000.0, value.applyAsDouble(point)));
            dataset.addSeries(series);
        }
        JFreeChart chart = ChartFactory.createXYLineChart(report.trace() + ": " + name, "seconds", unit, dataset);
        Path file = directory.resolve(report.trace() + "-" + name + ".png");
        ChartUtils.saveChartAsPNG(file.toFile(), chart, WIDTH_PIXELS, HEIGHT_PIXELS);
        return file;
    }
}
