package org.cactusshift.systemtest;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.List;
import java.util.OptionalInt;
import org.cactusshift.systemtest.SystemCall.Kind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Nodes that stop, die or stand still while callers use the site. */
class NodeLossTest {
    private static final long SEED = 6_1;

    private static final int CALLS = 10;

    private SystemSite site;

    private SystemTraffic traffic;

    @BeforeEach
    void start(@TempDir Path directory) throws Exception {
        site = SystemSite.start(directory);
        traffic = SystemTraffic.start(site, SEED);
        traffic.awaitAnswered(Kind.STREAMED_CHAT, CALLS);
        traffic.awaitAnswered(Kind.PAYOUT, CALLS);
    }

    @AfterEach
    void stop() {
        if (traffic != null) {
            traffic.close();
        }
        if (site != null) {
            site.close();
        }
    }

    @Test
    void terminatedNodeFinishesItsRequests() throws Exception {
        SiteNode leaving = site.nodes().get(0);
        leaving.process().terminate();
        traffic.awaitAnswered(Kind.STREAMED_CHAT, CALLS);
        assertEquals(
                OptionalInt.of(0),
                leaving.process().awaitExit(SystemSite.BOUND_MILLIS),
                leaving.process().output());
        site.forget(leaving);
        traffic.awaitAnswered(Kind.PAYOUT, CALLS);
        SystemChecks checks = finish();
        checks.nothingCut();
        checks.usageEqualsServed();
    }

    private SystemChecks finish() throws Exception {
        List<SystemResult> results = traffic.finish();
        SystemChecks checks = new SystemChecks(site, results);
        System.out.println("outcomes " + checks.summary());
        checks.alwaysHolds();
        return checks;
    }
}
