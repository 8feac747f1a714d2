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

/** Runs nodes and stand-ins for all that they call on loopback, under recorded traffic or until a signal. */
public final class Demo {
    /** The error code of calls that exceed the limit of their client account. */
    private static final String RATE_LIMIT_CODE = "rate_limit_exceeded";

    private static final int NODES = 3;
    /** The start of the replayed section, after the start of the trace. */
    private static final long TRACE_START_MILLIS = 18_000;
    /** The end of the replayed section, after the start of the trace. */
    private static final long TRACE_END_MILLIS = 44_000;

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
     * Sends the requests of a section of the site's recorded trace to the nodes and prints the resulting metrics.
     *
     * @return true if every requirement is met
     * @throws CactusshiftException if the site can't start or the trace can't be read
     * @throws IOException if a stand-in can't listen
     * @throws InterruptedException if the thread is interrupted
     */
    public boolean run() throws CactusshiftException, IOException, InterruptedException {
        SpanCounter spans = new SpanCounter();
        try (DemoSite demoSite = DemoSite.start(examples, site, NODES, spans)) {
            Path trace = examples.resolve("traces").resolve(site + "-mix-shift.jsonl.gz");
            List<DemoCall> calls = DemoTrace.read(trace, demoSite.config(), TRACE_START_MILLIS, TRACE_END_MILLIS);
            DemoProgress progress = new DemoProgress(err, calls.size());
            List<DemoResult> results = new DemoTraffic(demoSite).run(calls, progress::show);
            progress.end();
            DemoMetrics metrics = new DemoMetrics(calls, results, demoSite.config(), demoSite.platform());
            awaitUsageReports(metrics);
            boolean allCompleted = demoSite.stopNodes();
            List<DemoMetric> rows = new ArrayList<>(metrics.rows());
            rows.add(DemoMetric.equal("nodes that cut a request at stop", allCompleted ? 0 : 1, 0));
            // A call has a request span and a span for each attempt; one over the limit is refused before an attempt.
            long rateLimited = results.stream()
                    .filter(result -> result.refusalCode().equals(RATE_LIMIT_CODE))
                    .count();
            rows.add(DemoMetric.atLeast("spans of all calls", spans.count(), 2L * calls.size() - rateLimited));
            out.printf("site %s: %d nodes, %d calls%n", site, NODES, calls.size());
            DemoTable.print(rows, out);
            return rows.stream().allMatch(DemoMetric::isMet);
        }
    }

    /** Waits until usage reports and responses agree, up to a timeout, as a window is reported only after its end. */
    private static void awaitUsageReports(DemoMetrics metrics) throws InterruptedException {
        long deadlineMillis = System.currentTimeMillis() + USAGE_TIMEOUT_MILLIS;
        while (metrics.tokenDifference() != 0 && System.currentTimeMillis() < deadlineMillis) {
            Thread.sleep(USAGE_POLL_MILLIS);
        }
    }

    /**
     * Starts the site, prints its addresses and a client key as {@code NAME=VALUE} lines, and serves until the process
     * is signalled.
     *
     * @throws CactusshiftException if the site can't start
     * @throws IOException if a stand-in can't listen
     * @throws InterruptedException if the thread is interrupted
     */
    public void serveUntilSignal() throws CactusshiftException, IOException, InterruptedException {
        DemoSite demoSite = DemoSite.start(examples, site, NODES, new SpanCounter());
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(demoSite), "demo-shutdown"));
        Node first = demoSite.nodes().get(0);
        ServiceConfig plain = demoSite.config().services().stream()
                .filter(service -> service.kind() == ServiceConfig.Kind.PLAIN && !service.openRoute())
                .findFirst()
                .orElseThrow();
        AccountConfig account = demoSite.config().accounts().stream()
                .filter(candidate -> candidate.services().contains(plain.id()))
                .findFirst()
                .orElseThrow();
        out.println("OPENAI_BASE_URL=http://" + first.callerAddress() + "/v1");
        out.println("OPENAI_API_KEY=" + demoSite.bearerToken(account.id()));
        out.println("SERVICE_URL=http://" + first.callerAddress() + "/services/" + plain.id());
        out.println("METRICS_URL=http://" + first.operatorAddress() + "/metrics");
        out.println("STATUS_URL=http://" + first.operatorAddress() + "/status");
        out.println("ENGINES_URL=http://"
                + demoSite.platform().receivedRequestsPage().address() + "/");
        out.println("STORE=" + demoSite.platform().keyValueService().address());
        out.println("READY");
        out.flush();
        new CountDownLatch(1).await();
    }

    private void stop(DemoSite demoSite) {
        err.println("shutting down; open requests are completed first");
        boolean allCompleted = demoSite.stopNodes();
        demoSite.close();
        err.println(
                allCompleted ? "stopped; no open request was cut" : "shutdown timeout expired; open requests were cut");
        err.flush();
        // A signalled JVM exits with a status for the signal; halting in the hook reports a graceful stop as success.
        Runtime.getRuntime().halt(allCompleted ? 0 : 1);
    }
}
