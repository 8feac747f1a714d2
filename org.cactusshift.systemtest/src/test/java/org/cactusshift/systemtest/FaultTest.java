package org.cactusshift.systemtest;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.List;
import org.cactusshift.systemtest.TrafficCall.Kind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/** Base of the tests that inject faults into a site under traffic. */
abstract class FaultTest {
    static final int CALLS = 10;

    private static final long SEED = 6_1;

    FaultTestSite site;

    TrafficGenerator traffic;

    private ConfigVersionMonitor versionMonitor;

    @BeforeEach
    void start(@TempDir Path directory) throws Exception {
        site = FaultTestSite.start(directory);
        versionMonitor = ConfigVersionMonitor.start(site);
        traffic = TrafficGenerator.start(site, SEED);
        traffic.awaitMoreAnswered(Kind.STREAMED_CHAT, CALLS);
        traffic.awaitMoreAnswered(Kind.PAYOUT, CALLS);
    }

    @AfterEach
    void stop() {
        if (traffic != null) {
            traffic.close();
        }
        if (versionMonitor != null) {
            versionMonitor.close();
        }
        if (site != null) {
            site.close();
        }
    }

    /**
     * Clears the store's faults, publishes one more configuration, waits until every node has it, ends the traffic and
     * checks the guarantees that hold under every fault.
     */
    TrafficChecks finish() throws Exception {
        site.platform().keyValueService().faults().clear();
        long accepted = site.publishLongerQueue();
        BoundedWait.until(
                "version " + accepted + " at every node",
                () -> site.nodes().stream().allMatch(node -> versionMonitor.latestVersion(node) >= accepted));
        List<CallResult> results = traffic.finish();
        TrafficChecks checks = new TrafficChecks(site, results);
        System.out.println(getClass().getSimpleName() + " outcomes " + checks.countsByOutcome());
        checks.assertInvariants();
        assertEquals(List.of(), versionMonitor.regressions(), "nodes whose configuration version decreased");
        return checks;
    }
}
