package org.cactusshift.internal.coordination.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.UpstreamId;

/**
 * Tracks the other nodes and the leaving upstreams, from the platform's list, which may be out of date, and from
 * heartbeats.
 *
 * <p>The list adds members and removes silent ones; heartbeats show which members respond. A member whose heartbeats
 * arrive stays, whatever the list contains, because the list may be out of date. A silent member stays suspect, or
 * leaving if it was last listed as leaving, because a network partition looks the same; it is gone only if it had
 * reported that it is leaving, or if it stays silent for three times the suspicion time and a list read since no longer
 * contains it. Thread-safe; times are those of a monotonic clock and are passed as arguments.
 */
public final class MembershipTable {
    /** The silence, in suspicion times, after which a member that is no longer listed is gone. */
    private static final int GONE_SUSPICION_MULTIPLE = 3;
    /**
     * The silence, in suspicion times, after which the entry of a gone member is removed. Until then late heartbeats of
     * its earlier incarnations are recognized.
     */
    private static final int REMOVAL_SUSPICION_MULTIPLE = 60;

    private final InstanceId self;
    private final LongSupplier suspicionMillisSupplier;
    private final Object lock = new Object();
    private final Map<InstanceId, MemberEntry> entryById = new TreeMap<>();
    private final Set<UpstreamId> everListedUpstreams = new HashSet<>();
    private Set<UpstreamId> leavingUpstreams = Set.of();

    private MembershipTable(InstanceId self, LongSupplier suspicionMillisSupplier) {
        this.self = self;
        this.suspicionMillisSupplier = suspicionMillisSupplier;
    }

    /**
     * Creates an empty table.
     *
     * @param self this instance, which the table excludes
     * @param suspicionMillis the time without heartbeats after which a member is suspect, in milliseconds
     * @return the table
     */
    public static MembershipTable create(InstanceId self, long suspicionMillis) {
        return create(self, () -> suspicionMillis);
    }

    /**
     * Creates an empty table whose suspicion time follows the configuration.
     *
     * @param self this instance, which the table excludes
     * @param suspicionMillisSupplier supplies the time without heartbeats after which a member is suspect, in
     *     milliseconds; called with the table locked, each time the state of a member is determined
     * @return the table
     */
    public static MembershipTable create(InstanceId self, LongSupplier suspicionMillisSupplier) {
        return new MembershipTable(self, suspicionMillisSupplier);
    }

    /**
     * Updates the table from the platform's complete list.
     *
     * @param instances the list as it was read
     * @param nowMillis the current monotonic time, in milliseconds
     */
    public void updateFromInstanceList(List<ListedInstance> instances, long nowMillis) {
        synchronized (lock) {
            entryById.values().forEach(entry -> entry.markUnlisted(nowMillis));
            Set<UpstreamId> leaving = new HashSet<>(everListedUpstreams);
            for (ListedInstance instance : instances) {
                if (instance.kind() == ListedInstance.Kind.ENTRY) {
                    applyNode(instance, nowMillis);
                } else {
                    applyUpstream(instance, leaving);
                }
            }
            leavingUpstreams = Set.copyOf(leaving);
        }
    }

    private void applyNode(ListedInstance instance, long nowMillis) {
        InstanceId id = InstanceId.fromString(instance.id());
        if (!id.equals(self)) {
            entryById
                    .computeIfAbsent(id, unused -> new MemberEntry(id, nowMillis))
                    .markListed(instance);
        }
    }

    /**
     * Removes a listed upstream from {@code leaving} unless it is leaving. An upstream that was listed before and is no
     * longer listed stays there, as it has left; one never listed may just not be listed yet.
     */
    private void applyUpstream(ListedInstance instance, Set<UpstreamId> leaving) {
        UpstreamId id = UpstreamId.fromString(instance.id());
        everListedUpstreams.add(id);
        if (!instance.leaving()) {
            leaving.remove(id);
        }
    }

    /**
     * Records a heartbeat or a heartbeat response.
     *
     * @param heartbeat the sender's state
     * @param nowMillis the current monotonic time, in milliseconds
     * @return false when it must be ignored: it is from an earlier incarnation, or from this instance itself
     */
    public boolean onHeartbeat(PeerHeartbeat heartbeat, long nowMillis) {
        if (heartbeat.id().equals(self)) {
            return false;
        }
        synchronized (lock) {
            return entryById
                    .computeIfAbsent(heartbeat.id(), id -> new MemberEntry(id, nowMillis))
                    .recordHeartbeat(heartbeat, nowMillis);
        }
    }

    /**
     * Returns the members that are not gone. Also removes the entries of members that have been gone for long.
     *
     * @param nowMillis the current monotonic time, in milliseconds
     * @return the members, sorted by id, without this instance
     */
    public List<Member> members(long nowMillis) {
        List<Member> members = new ArrayList<>();
        synchronized (lock) {
            entryById.values().removeIf(entry -> isRemovable(entry, nowMillis));
            for (MemberEntry entry : entryById.values()) {
                Member.State state = stateOf(entry, nowMillis);
                if (state != Member.State.GONE) {
                    members.add(entry.toMember(state));
                }
            }
        }
        return members;
    }

    /**
     * Returns one member.
     *
     * @param id the instance
     * @param nowMillis the current monotonic time, in milliseconds
     * @return the member, also when it is gone; empty when it is not in the table
     */
    public Optional<Member> member(InstanceId id, long nowMillis) {
        synchronized (lock) {
            return Optional.ofNullable(entryById.get(id)).map(entry -> entry.toMember(stateOf(entry, nowMillis)));
        }
    }

    /**
     * Returns the upstreams that must receive no new work because the platform is removing them or has removed them:
     * those that an earlier list contained and that the latest list shows as leaving or does not contain.
     *
     * @return the upstreams
     */
    public Set<UpstreamId> leavingUpstreams() {
        synchronized (lock) {
            return leavingUpstreams;
        }
    }

    private Member.State stateOf(MemberEntry entry, long nowMillis) {
        long suspicionMillis = suspicionMillisSupplier.getAsLong();
        return entry.state(nowMillis, suspicionMillis, GONE_SUSPICION_MULTIPLE * suspicionMillis);
    }

    private boolean isRemovable(MemberEntry entry, long nowMillis) {
        return stateOf(entry, nowMillis) == Member.State.GONE
                && entry.silenceMillis(nowMillis) > REMOVAL_SUSPICION_MULTIPLE * suspicionMillisSupplier.getAsLong();
    }
}
