package org.cactusshift.systemtest;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.List;
import org.cactusshift.systemtest.TrafficCall.Kind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/**
 * Base of the tests that inject faults into a site under traffic. A site and its traffic are started before each test;
 * a test ends with {@link #finish}, which checks the invariants.
 */
abstract class FaultTest {
    /** Number of answered calls to wait for before and after a fault. */
    static final int AWAITED_CALLS = 10;

    private static final long SEED = 61;

    FaultTestSite site;

    TrafficGenerator traffic;

    private ConfigVersionMonitor versionMonitor;

    @BeforeEach
    void start(@TempDir Path directory) throws Exception {
        site = FaultTestSite.start(directory);
        versionMonitor = ConfigVersionMonitor.start(site);
        traffic = TrafficGenerator.start(site, SEED);
        traffic.awaitAnswered(Kind.STREAMED_CHAT, AWAITED_CALLS);
        traffic.awaitAnswered(Kind.PAYOUT, AWAITED_CALLS);
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
     * checks {@linkplain TrafficChecks#assertInvariants the guarantees that hold under every fault}.
     */
    TrafficChecks finish() throws Exception {
        site.platform().keyValueService().faults().clear();
        long version = site.publishChangedConfig();
        BoundedWait.until(
                "version " + version + " at every node",
                () -> site.nodes().stream().allMatch(node -> versionMonitor.latestVersion(node) >= version));
        List<CallResult> results = traffic.finish();
        TrafficChecks checks = new TrafficChecks(site, results);
        System.out.println(getClass().getSimpleName() + " outcomes " + checks.countsByOutcome());
        checks.assertInvariants();
        assertEquals(List.of(), versionMonitor.regressions(), "nodes whose configuration version decreased");
        return checks;
    }
}
