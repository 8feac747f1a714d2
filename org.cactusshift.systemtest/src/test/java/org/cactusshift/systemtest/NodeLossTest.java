package org.cactusshift.systemtest;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import org.cactusshift.systemtest.TrafficCall.Kind;
import org.junit.jupiter.api.Test;

/** Stops, kills and pauses nodes of a site under traffic. */
class NodeLossTest extends FaultTest {
    private static final String CLAIM = "claim";

    private static final String USAGE = "usage";

    @Test
    void terminatedNodeInterruptsNoCallAndExitsWithSuccess() throws Exception {
        SiteNode leaving = site.nodes().get(0);
        leaving.process().terminate();
        traffic.awaitAnswered(Kind.STREAMED_CHAT, AWAITED_CALLS);
        assertEquals(
                OptionalInt.of(0),
                leaving.process().awaitExit(FaultTestSite.CONDITION_TIMEOUT_MILLIS),
                leaving.process().output());
        site.deregister(leaving);
        traffic.awaitAnswered(Kind.PAYOUT, AWAITED_CALLS);
        TrafficChecks checks = finish();
        checks.assertNoCallInterrupted();
        checks.assertUsageEqualsServed();
    }

    @Test
    void rollingReplacementInterruptsNoCall() throws Exception {
        for (SiteNode old : List.copyOf(site.nodes())) {
            site.startNode();
            site.awaitReady();
            old.process().terminate();
            assertEquals(
                    OptionalInt.of(0),
                    old.process().awaitExit(FaultTestSite.CONDITION_TIMEOUT_MILLIS),
                    old.process().output());
            site.deregister(old);
        }
        traffic.awaitAnswered(Kind.PAYOUT, AWAITED_CALLS);
        TrafficChecks checks = finish();
        checks.assertNoCallInterrupted();
        checks.assertUsageEqualsServed();
    }

    @Test
    void killedDutyHolderLosesOnlyItsOwnUsageCounts() throws Exception {
        Set<SiteNode> killedNodes = new HashSet<>(List.of(site.awaitDutyHolder(CLAIM), site.awaitDutyHolder(USAGE)));
        for (SiteNode node : killedNodes) {
            node.process().kill();
            node.process().awaitExit(FaultTestSite.CONDITION_TIMEOUT_MILLIS);
            site.deregister(node);
        }
        awaitClaimAndUsageHolders(killedNodes);
        traffic.awaitAnswered(Kind.PAYOUT, AWAITED_CALLS);
        traffic.awaitAnswered(Kind.STREAMED_CHAT, AWAITED_CALLS);
        TrafficChecks checks = finish();
        checks.assertUsageWithinBounds(killedNodes);
    }

    @Test
    void resumedNodeGivesUpDutiesTakenOverByOthers() throws Exception {
        SiteNode paused = site.awaitDutyHolder(CLAIM);
        List<String> duties = paused.duties(site.client());
        paused.process().pause();
        site.nodes().remove(paused);
        BoundedWait.until(
                "take-over of " + duties, () -> dutiesHeldBy(site.nodes()).containsAll(duties));
        traffic.awaitAnswered(Kind.PAYOUT, AWAITED_CALLS);
        paused.process().resume();
        site.nodes().add(paused);
        BoundedWait.until("at most one holder of each duty", () -> {
            List<String> held = dutiesHeldBy(site.nodes());
            return held.size() == new HashSet<>(held).size();
        });
        traffic.awaitAnswered(Kind.PAYOUT, AWAITED_CALLS);
        traffic.awaitAnswered(Kind.STREAMED_CHAT, AWAITED_CALLS);
        finish();
    }

    private void awaitClaimAndUsageHolders(Collection<SiteNode> killedNodes) throws InterruptedException {
        BoundedWait.until("holders of claim and usage duties other than " + killedNodes, () -> {
            List<String> held = dutiesHeldBy(site.nodes());
            return held.stream().anyMatch(duty -> duty.startsWith(CLAIM))
                    && held.stream().anyMatch(duty -> duty.startsWith(USAGE));
        });
    }

    private List<String> dutiesHeldBy(List<SiteNode> nodes) throws IOException {
        List<String> held = new ArrayList<>();
        for (SiteNode node : nodes) {
            held.addAll(node.duties(site.client()));
        }
        return held;
    }
}
