package org.cactusshift.pgm.demo;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.cactusshift.config.AccountConfig;
import org.cactusshift.config.ServiceConfig;
import org.cactusshift.errors.CactusshiftException;
import org.cactusshift.node.Node;

/** Runs a complete site on loopback, either under recorded traffic or until the process is signalled. */
public final class Demo {
    private static final int NODES = 3;
    private static final long WINDOW_START_MILLIS = 18_000;
    private static final long WINDOW_END_MILLIS = 44_000;
    private static final long USAGE_TIMEOUT_MILLIS = 15_000;
    private static final long USAGE_POLL_MILLIS = 100;

    private Path examples = Path.of("examples");
    private String site = "be-coast";
    private PrintStream out = System.out;
    private PrintStream err = System.err;

    private Demo() {}

    /**
     * Returns a demo of the site {@code be-coast}.
     *
     * @return the demo
     */
    public static Demo create() {
        return new Demo();
    }

    /**
     * Sets the directory of the example configuration and the traces.
     *
     * @param newExamples the directory
     * @return this demo
     */
    public Demo setExamples(Path newExamples) {
        examples = newExamples;
        return this;
    }

    /**
     * Sets the site.
     *
     * @param newSite the name of an overlay
     * @return this demo
     */
    public Demo setSite(String newSite) {
        site = newSite;
        return this;
    }

    /**
     * Sets the streams for results and progress.
     *
     * @param newOut receives the table or the addresses
     * @param newErr receives the progress
     * @return this demo
     */
    public Demo setStreams(PrintStream newOut, PrintStream newErr) {
        out = newOut;
        err = newErr;
        return this;
    }

    /**
     * Sends the requests of a window of the site's recorded trace and prints the metrics.
     *
     * @return true if every requirement is met
     * @throws CactusshiftException if the site can't start or the trace can't be read
     * @throws IOException if a stand-in can't listen
     * @throws InterruptedException if the thread is interrupted
     */
    public boolean run() throws CactusshiftException, IOException, InterruptedException {
        SpanCounter spans = new SpanCounter();
        try (DemoSite running = DemoSite.start(examples, site, NODES, spans)) {
            Path trace = examples.resolve("traces").resolve(site + "-mix-shift.jsonl.gz");
            List<DemoCall> calls = DemoTrace.read(trace, running.config(), WINDOW_START_MILLIS, WINDOW_END_MILLIS);
            DemoProgress progress = new DemoProgress(err, calls.size());
            List<DemoResult> results = new DemoTraffic(running).run(calls, progress::show);
            progress.end();
            DemoMetrics metrics = new DemoMetrics(calls, results, running.config(), running.platform());
            awaitUsageReports(metrics);
            boolean stopped = running.stopNodes();
            List<DemoMetric> rows = new ArrayList<>(metrics.rows());
            rows.add(DemoMetric.equal("nodes that cut a request at stop", stopped ? 0 : 1, 0));
            rows.add(DemoMetric.atLeast("spans for each call", (double) spans.count() / calls.size(), 2));
            out.printf("site %s: %d nodes, %d calls%n", site, NODES, calls.size());
            DemoTable.print(rows, out);
            return rows.stream().allMatch(DemoMetric::isMet);
        }
    }

    /** Waits for the report of the last usage window, as windows are reported after their end. */
    private static void awaitUsageReports(DemoMetrics metrics) throws InterruptedException {
        long deadlineMillis = System.currentTimeMillis() + USAGE_TIMEOUT_MILLIS;
        while (metrics.tokenDifference() != 0 && System.currentTimeMillis() < deadlineMillis) {
            Thread.sleep(USAGE_POLL_MILLIS);
        }
    }

    /**
     * Serves until the process is signalled.
     *
     * @throws CactusshiftException if the site can't start
     * @throws IOException if a stand-in can't listen
     * @throws InterruptedException if the thread is interrupted
     */
    public void serveUntilSignal() throws CactusshiftException, IOException, InterruptedException {
        DemoSite running = DemoSite.start(examples, site, NODES, new SpanCounter());
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(running), "demo-shutdown"));
        Node first = running.nodes().get(0);
        ServiceConfig plain = running.config().services().stream()
                .filter(service -> service.kind() == ServiceConfig.Kind.PLAIN && !service.openRoute())
                .findFirst()
                .orElseThrow();
        AccountConfig account = running.config().accounts().stream()
                .filter(candidate -> candidate.services().contains(plain.id()))
                .findFirst()
                .orElseThrow();
        out.println("OPENAI_BASE_URL=http://" + first.callerAddress() + "/v1");
        out.println("OPENAI_API_KEY=" + running.bearer(account.id()));
        out.println("SERVICE_URL=http://" + first.callerAddress() + "/services/" + plain.id());
        out.println("METRICS_URL=http://" + first.operatorAddress() + "/metrics");
        out.println("STATUS_URL=http://" + first.operatorAddress() + "/status");
        out.println("ENGINES_URL=http://"
                + running.platform().receivedRequestsPage().address() + "/");
        out.println("STORE=" + running.platform().keyValueService().address());
        out.println("READY");
        out.flush();
        new CountDownLatch(1).await();
    }

    private void stop(DemoSite running) {
        err.println("shutting down; open requests are completed first");
        boolean complete = running.stopNodes();
        running.close();
        err.println(complete ? "stopped; no open request was cut" : "shutdown timeout expired; open requests were cut");
        err.flush();
        Runtime.getRuntime().halt(complete ? 0 : 1);
    }
}
