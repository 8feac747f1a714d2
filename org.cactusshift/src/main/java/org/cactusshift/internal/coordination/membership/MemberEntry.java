package org.cactusshift.internal.coordination.membership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.InstanceId;

/** The mutable entry of one member; guarded by the lock of the membership table. */
final class MemberEntry {
    private static final int RETIRED_INCARNATIONS = 4;

    private final InstanceId id;
    private final Deque<IncarnationId> retired = new ArrayDeque<>();
    private FailureDomainId failureDomain;
    private String peerAddress;
    private IncarnationId incarnation;
    private long lastHeardMillis;
    private boolean reportedLeaving;
    private boolean listed;
    private long unlistedMillis = Long.MIN_VALUE;
    private boolean listedLeaving;

    MemberEntry(InstanceId id, long nowMillis) {
        this.id = id;
        this.lastHeardMillis = nowMillis;
    }

    /** Records a heartbeat; returns false for a late one of an earlier incarnation, which is ignored. */
    boolean recordHeartbeat(PeerHeartbeat heartbeat, long nowMillis) {
        if (retired.contains(heartbeat.incarnation())) {
            return false;
        }
        if (!heartbeat.incarnation().equals(incarnation)) {
            retire();
            incarnation = heartbeat.incarnation();
            reportedLeaving = false;
        }
        failureDomain = heartbeat.failureDomain();
        peerAddress = heartbeat.peerAddress();
        reportedLeaving |= heartbeat.leaving();
        lastHeardMillis = Math.max(lastHeardMillis, nowMillis);
        return true;
    }

    private void retire() {
        if (incarnation == null) {
            return;
        }
        retired.addFirst(incarnation);
        if (retired.size() > RETIRED_INCARNATIONS) {
            retired.removeLast();
        }
    }

    void markListed(ListedInstance instance) {
        listed = true;
        listedLeaving = instance.leaving();
        if (incarnation == null) {
            failureDomain = instance.failureDomain();
            peerAddress = instance.peerAddress();
        }
    }

    /** Records that the platform's list, read at the given time, does not contain the member. */
    void markUnlisted(long readMillis) {
        listed = false;
        unlistedMillis = readMillis;
    }

    long silenceMillis(long nowMillis) {
        return nowMillis - lastHeardMillis;
    }

    Member.State state(long nowMillis, long suspicionMillis, long goneMillis) {
        boolean silent = incarnation == null || silenceMillis(nowMillis) > suspicionMillis;
        boolean leaving = reportedLeaving || listedLeaving;
        if (silent && reportedLeaving) {
            return Member.State.GONE;
        }
        if (silent && isUnlistedSinceSilent(suspicionMillis) && silenceMillis(nowMillis) > goneMillis) {
            return Member.State.GONE;
        }
        if (leaving) {
            return Member.State.LEAVING;
        }
        return silent ? Member.State.SUSPECT : Member.State.LIVE;
    }

    /**
     * Returns whether a list that was read after the member became silent does not contain it. Silence alone does not
     * show that a member is gone, since it may be partitioned.
     */
    private boolean isUnlistedSinceSilent(long suspicionMillis) {
        return !listed && unlistedMillis > lastHeardMillis + suspicionMillis;
    }

    Member toMember(Member.State state) {
        return new Member(id, failureDomain, peerAddress, Optional.ofNullable(incarnation), state);
    }
}
