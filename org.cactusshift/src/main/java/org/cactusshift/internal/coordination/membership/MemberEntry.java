package org.cactusshift.internal.coordination.membership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.InstanceId;

/** The mutable entry of one member; guarded by the lock of the membership table. */
final class MemberEntry {
    /** The number of earlier incarnations whose late heartbeats are recognized. */
    private static final int MAXIMUM_EARLIER_INCARNATIONS = 4;

    private final InstanceId id;
    /** The incarnations whose late heartbeats are ignored, newest first. */
    private final Deque<IncarnationId> earlierIncarnations = new ArrayDeque<>();

    private FailureDomainId failureDomain;
    private String peerAddress;
    /** The incarnation of the last recorded heartbeat; null before the first one. */
    private IncarnationId incarnation;

    private long lastHeardAtMillis;
    private boolean reportedLeaving;
    private boolean listed;
    private long unlistedAtMillis = Long.MIN_VALUE;
    private boolean listedLeaving;

    MemberEntry(InstanceId id, long nowMillis) {
        this.id = id;
        // The silence of a member that is only listed counts from its first listing.
        this.lastHeardAtMillis = nowMillis;
    }

    /** Records a heartbeat. Returns false, and records nothing, if it is from an earlier incarnation. */
    boolean recordHeartbeat(PeerHeartbeat heartbeat, long nowMillis) {
        if (earlierIncarnations.contains(heartbeat.incarnation())) {
            return false;
        }
        if (!heartbeat.incarnation().equals(incarnation)) {
            keepAsEarlierIncarnation();
            incarnation = heartbeat.incarnation();
            reportedLeaving = false;
        }
        failureDomain = heartbeat.failureDomain();
        peerAddress = heartbeat.peerAddress();
        reportedLeaving |= heartbeat.leaving();
        lastHeardAtMillis = Math.max(lastHeardAtMillis, nowMillis);
        return true;
    }

    private void keepAsEarlierIncarnation() {
        if (incarnation == null) {
            return;
        }
        earlierIncarnations.addFirst(incarnation);
        if (earlierIncarnations.size() > MAXIMUM_EARLIER_INCARNATIONS) {
            earlierIncarnations.removeLast();
        }
    }

    void markListed(ListedInstance instance) {
        listed = true;
        listedLeaving = instance.leaving();
        // What the member's heartbeats report takes precedence over the list.
        if (incarnation == null) {
            failureDomain = instance.failureDomain();
            peerAddress = instance.peerAddress();
        }
    }

    /**
     * Records that the platform's list, read at the given time, does not contain the member. Called for every member
     * before the listed ones are marked as such.
     */
    void markUnlisted(long readMillis) {
        listed = false;
        unlistedAtMillis = readMillis;
    }

    long silenceMillis(long nowMillis) {
        return nowMillis - lastHeardAtMillis;
    }

    /**
     * Returns the state. A member is silent when it has sent no heartbeat yet, or none for longer than
     * {@code suspicionMillis}. It is gone when silent after it reported that it is leaving, or when silent for longer
     * than {@code goneSilenceMillis} and, by {@link #isUnlistedSinceSilent}, not in the last list; otherwise leaving,
     * suspect when silent, or live.
     */
    Member.State state(long nowMillis, long suspicionMillis, long goneSilenceMillis) {
        boolean silent = incarnation == null || silenceMillis(nowMillis) > suspicionMillis;
        boolean leaving = reportedLeaving || listedLeaving;
        if (silent && reportedLeaving) {
            return Member.State.GONE;
        }
        if (silent && isUnlistedSinceSilent(suspicionMillis) && silenceMillis(nowMillis) > goneSilenceMillis) {
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
        return !listed && unlistedAtMillis > lastHeardAtMillis + suspicionMillis;
    }

    Member toMember(Member.State state) {
        return new Member(id, failureDomain, peerAddress, Optional.ofNullable(incarnation), state);
    }
}
