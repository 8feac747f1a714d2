package org.cactusshift.systemtest;

import java.nio.file.Path;
import java.util.List;
import org.cactusshift.systemtest.SystemCall.Kind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/** A test that meets a site under traffic with a fault. */
abstract class FaultTest {
    static final int CALLS = 10;

    private static final long SEED = 6_1;

    SystemSite site;

    SystemTraffic traffic;

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

    /** Ends the traffic and checks what must hold whatever fails. */
    SystemChecks finish() throws Exception {
        List<SystemResult> results = traffic.finish();
        SystemChecks checks = new SystemChecks(site, results);
        System.out.println(getClass().getSimpleName() + " outcomes " + checks.summary());
        checks.alwaysHolds();
        return checks;
    }
}
