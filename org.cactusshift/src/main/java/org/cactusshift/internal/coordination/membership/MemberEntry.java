package org.cactusshift.internal.coordination.membership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.InstanceId;

/** The mutable row of one member; guarded by the table's lock. */
final class MemberEntry {
    private static final int RETIRED_INCARNATIONS = 4;

    private final InstanceId id;
    private final Deque<IncarnationId> retired = new ArrayDeque<>();
    private FailureDomainId failureDomain;
    private String peerAddress;
    private IncarnationId incarnation;
    private long lastSignMillis;
    private boolean saidLeaving;
    private boolean listed;
    private long unlistedMillis = Long.MIN_VALUE;
    private boolean listedLeaving;

    MemberEntry(InstanceId id, long nowMillis) {
        this.id = id;
        this.lastSignMillis = nowMillis;
    }

    /** Takes a sighting; one of an earlier start of the instance is late and ignored. */
    boolean recordHeartbeat(PeerHeartbeat sighting, long nowMillis) {
        if (retired.contains(sighting.incarnation())) {
            return false;
        }
        if (!sighting.incarnation().equals(incarnation)) {
            retire();
            incarnation = sighting.incarnation();
            saidLeaving = false;
        }
        failureDomain = sighting.failureDomain();
        peerAddress = sighting.peerAddress();
        saidLeaving |= sighting.leaving();
        lastSignMillis = Math.max(lastSignMillis, nowMillis);
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

    /** Notes that the platform's list, read at the given time, lacks the member. */
    void markUnlisted(long readMillis) {
        listed = false;
        unlistedMillis = readMillis;
    }

    long silenceMillis(long nowMillis) {
        return nowMillis - lastSignMillis;
    }

    Member.State state(long nowMillis, long suspicionMillis, long goneMillis) {
        boolean silent = incarnation == null || silenceMillis(nowMillis) > suspicionMillis;
        boolean leaving = saidLeaving || listedLeaving;
        if (silent && saidLeaving) {
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

    /** Silence alone is no proof that a member is gone; only a list read after it fell silent is. */
    private boolean isUnlistedSinceSilent(long suspicionMillis) {
        return !listed && unlistedMillis > lastSignMillis + suspicionMillis;
    }

    Member toMember(Member.State state) {
        return new Member(id, failureDomain, peerAddress, Optional.ofNullable(incarnation), state);
    }
}
