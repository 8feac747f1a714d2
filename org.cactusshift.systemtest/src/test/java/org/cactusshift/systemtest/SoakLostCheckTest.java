package org.cactusshift.systemtest;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import org.cactusshift.standin.StandInClient;
import org.cactusshift.standin.link.Direction;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which requests the soak reports as lost: those that are cut beside planned faults only. */
class SoakLostCheckTest {
    private static final long SEED = 1;
    private static final long READY_TIMEOUT_MILLIS = 60_000;

    /** Guards against counting a request that an unplanned fault cuts, and against excusing one beside planned work. */
    @ParameterizedTest
    @CsvSource({
        "TERMINATE, true",
        "RELOAD_SETTINGS, true",
        "CONFIG_CHANGE, true",
        "STORE_STALLED, true",
        "KILL, false",
        "PAUSE, false",
        "CALLERS_STALLED, false"
    })
    void requestThatIsCutBesideOneFaultIsLostUnlessTheFaultIsUnplanned(
            SoakFaultKind kind, boolean lost, @TempDir Path directory) throws Exception {
        try (SoakSite site = SoakSite.start(1, SEED, directory);
                SoakFaultInjector faults = new SoakFaultInjector(site, SEED)) {
            SoakNode node = site.nodes().get(0);
            node.process().awaitOk(StandInClient.create(), node.readinessAddress(), "/-/ready", READY_TIMEOUT_MILLIS);
            // The start of the node counts as an interruption.
            Await.until(() -> !node.hadRecentInterruption(System.nanoTime()));
            site.upstreams().relays().forEach(relay -> relay.hold(Direction.FROM_TARGET));
            try (SoakCallers callers = SoakCallers.start(site, 1, SEED)) {
                Await.until(() -> site.invariants().startedRequestCount() > 0);
                faults.inject(SoakFault.create(kind, 0, 0, 1, System.currentTimeMillis()));
                cutOneRequest(site);
                assertEquals(
                        lost,
                        !site.invariants().lostRequests().isEmpty(),
                        site.invariants().toString());
            }
        }
    }

    /** Resets the caller's connection while its request runs; the check knows nothing of that. */
    private static void cutOneRequest(SoakSite site) {
        int started = 0;
        while (site.invariants().cutRequestCount() == 0) {
            int cutSoFar = started;
            Await.until(() -> site.invariants().startedRequestCount() > cutSoFar
                    || site.invariants().cutRequestCount() > 0);
            started = site.invariants().startedRequestCount();
            site.nodes().get(0).callerRelay().resetOpenConnections();
        }
    }
}
