package org.cactusshift.systemtest;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import org.cactusshift.systemtest.SystemCall.Kind;
import org.junit.jupiter.api.Test;

/** Nodes that stop, die or stand still while callers use the site. */
class NodeLossTest extends FaultTest {
    private static final String CLAIM = "claim";

    private static final String USAGE = "usage";

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

    @Test
    void replacedNodesCutNothing() throws Exception {
        for (SiteNode old : List.copyOf(site.nodes())) {
            site.startNode();
            site.awaitReady();
            old.process().terminate();
            assertEquals(
                    OptionalInt.of(0),
                    old.process().awaitExit(SystemSite.BOUND_MILLIS),
                    old.process().output());
            site.forget(old);
        }
        traffic.awaitAnswered(Kind.PAYOUT, CALLS);
        SystemChecks checks = finish();
        checks.nothingCut();
        checks.usageEqualsServed();
    }

    @Test
    void killedHolderOfDutiesLosesOnlyItsOwnCounts() throws Exception {
        Set<SiteNode> killed = new HashSet<>(List.of(site.holderOf(CLAIM), site.holderOf(USAGE)));
        for (SiteNode node : killed) {
            node.process().kill();
            node.process().awaitExit(SystemSite.BOUND_MILLIS);
            site.forget(node);
        }
        awaitHeldByOthers(killed);
        traffic.awaitAnswered(Kind.PAYOUT, CALLS);
        traffic.awaitAnswered(Kind.STREAMED_CHAT, CALLS);
        SystemChecks checks = finish();
        checks.usageWithinLossOf(killed);
    }

    @Test
    void resumedHolderOfDutiesHasNoEffect() throws Exception {
        SiteNode paused = site.holderOf(CLAIM);
        List<String> duties = paused.duties(site.client());
        paused.process().pause();
        site.nodes().remove(paused);
        BoundedWait.until(
                "other holders of " + duties, () -> heldBy(site.nodes()).containsAll(duties));
        traffic.awaitAnswered(Kind.PAYOUT, CALLS);
        paused.process().resume();
        site.nodes().add(paused);
        BoundedWait.until("one holder for each duty", () -> {
            List<String> held = heldBy(site.nodes());
            return held.size() == new HashSet<>(held).size();
        });
        traffic.awaitAnswered(Kind.PAYOUT, CALLS);
        traffic.awaitAnswered(Kind.STREAMED_CHAT, CALLS);
        finish();
    }

    private void awaitHeldByOthers(Collection<SiteNode> killed) throws InterruptedException {
        BoundedWait.until("holders other than " + killed, () -> {
            List<String> held = heldBy(site.nodes());
            return held.stream().anyMatch(duty -> duty.startsWith(CLAIM))
                    && held.stream().anyMatch(duty -> duty.startsWith(USAGE));
        });
    }

    private List<String> heldBy(List<SiteNode> nodes) throws IOException {
        List<String> held = new ArrayList<>();
        for (SiteNode node : nodes) {
            held.addAll(node.duties(site.client()));
        }
        return held;
    }
}
