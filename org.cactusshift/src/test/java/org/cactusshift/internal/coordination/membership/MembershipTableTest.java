package org.cactusshift.internal.coordination.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.UpstreamId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MembershipTableTest {
    private static final InstanceId SELF = InstanceId.fromString("n0");
    private static final InstanceId PEER = InstanceId.fromString("n1");
    private static final FailureDomainId DOMAIN = FailureDomainId.fromString("ostend-a");

    // The suspicion time is 2 s; an unlisted member is gone after a silence of more than three times that, 6 s.
    private final MembershipTable table = MembershipTable.create(SELF, 2000);

    @ParameterizedTest
    @CsvSource({
        // times in milliseconds
        // time of the heartbeat, whether listed, time of the list, whether the heartbeat says leaving,
        // current time, state
        "1000, true, 1000, false, 2000, LIVE",
        "1000, true, 1000, false, 3001, SUSPECT",
        "1000, true, 1000, false, 60000, SUSPECT",
        "1000, false, 1000, false, 3001, SUSPECT",
        "1000, false, 3000, false, 60000, SUSPECT",
        "1000, false, 3001, false, 7000, SUSPECT",
        "1000, false, 3001, false, 7001, GONE",
        "1000, true, 1000, true, 2000, LEAVING",
        "1000, true, 1000, true, 3001, GONE",
    })
    void stateFollowsListAndHeartbeats(
            long heartbeatMillis,
            boolean listed,
            long listMillis,
            boolean reportsLeaving,
            long nowMillis,
            Member.State state) {
        table.onHeartbeat(heartbeat("i1", reportsLeaving), heartbeatMillis);
        table.updateFromInstanceList(listed ? List.of(listedNode(false)) : List.of(), listMillis);

        assertEquals(state, table.member(PEER, nowMillis).orElseThrow().state());
        assertEquals(
                state != Member.State.GONE,
                table.members(nowMillis).stream().anyMatch(member -> member.id().equals(PEER)));
    }

    @Test
    void listedMemberWithoutHeartbeatIsSuspect() {
        table.updateFromInstanceList(List.of(listedNode(false)), 0);

        assertEquals(Member.State.SUSPECT, table.member(PEER, 1).orElseThrow().state());
    }

    @Test
    void memberListedAsLeavingIsLeaving() {
        table.onHeartbeat(heartbeat("i1", false), 0);
        table.updateFromInstanceList(List.of(listedNode(true)), 10);

        assertEquals(Member.State.LEAVING, table.member(PEER, 20).orElseThrow().state());
    }

    @Test
    void lateHeartbeatOfEarlierIncarnationIsIgnored() {
        assertTrue(table.onHeartbeat(heartbeat("i1", true), 0));
        assertTrue(table.onHeartbeat(heartbeat("i2", false), 10));
        assertFalse(table.onHeartbeat(heartbeat("i1", true), 20));

        Member member = table.member(PEER, 30).orElseThrow();
        assertEquals(Optional.of(IncarnationId.fromString("i2")), member.incarnation());
        assertEquals(Member.State.LIVE, member.state());
    }

    @Test
    void ownHeartbeatIsIgnored() {
        table.onHeartbeat(new PeerHeartbeat(SELF, IncarnationId.fromString("i0"), DOMAIN, "127.0.0.1:1", false), 0);

        assertEquals(List.of(), table.members(0));
    }

    @Test
    void upstreamThatLeavesOrIsNoLongerListedIsLeaving() {
        ListedInstance first = upstream("e1", false);
        ListedInstance second = upstream("e2", false);
        table.updateFromInstanceList(List.of(first, second), 0);
        assertEquals(Set.of(), table.leavingUpstreams());
        table.updateFromInstanceList(List.of(upstream("e1", true)), 1000);
        assertEquals(Set.of(UpstreamId.fromString("e1"), UpstreamId.fromString("e2")), table.leavingUpstreams());
        table.updateFromInstanceList(List.of(first, second), 2000);
        assertEquals(Set.of(), table.leavingUpstreams());
    }

    private static PeerHeartbeat heartbeat(String incarnation, boolean leaving) {
        return new PeerHeartbeat(PEER, IncarnationId.fromString(incarnation), DOMAIN, "127.0.0.1:1", leaving);
    }

    private static ListedInstance listedNode(boolean leaving) {
        return new ListedInstance(
                PEER.value(), ListedInstance.Kind.ENTRY, "127.0.0.1:2", "127.0.0.1:1", DOMAIN, leaving);
    }

    private static ListedInstance upstream(String id, boolean leaving) {
        return new ListedInstance(id, ListedInstance.Kind.UPSTREAM, "127.0.0.1:3", "", DOMAIN, leaving);
    }
}
