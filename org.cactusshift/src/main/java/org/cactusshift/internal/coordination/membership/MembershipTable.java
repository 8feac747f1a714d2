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
 * The other entry instances and the leaving upstreams, from the platform's lagging list and from heartbeats.
 *
 * <p>The list adds members and removes silent ones; heartbeats tell who answers. A member that is heard stays, whatever
 * the list says, because the list lags. A silent one stays suspect, because a network partition looks the same, until
 * it had said that it leaves or a list read since no longer has it. Safe for several threads; every method takes the
 * present time of a monotonic clock.
 */
public final class MembershipTable {
    private static final int GONE_AFTER_SUSPICIONS = 3;
    private static final int FORGOTTEN_AFTER_SUSPICIONS = 60;

    private final InstanceId self;
    private final LongSupplier suspicionMillis;
    private final Object lock = new Object();
    private final Map<InstanceId, MemberEntry> entries = new TreeMap<>();
    private final Set<UpstreamId> listedUpstreams = new HashSet<>();
    private Set<UpstreamId> leavingUpstreams = Set.of();

    private MembershipTable(InstanceId self, LongSupplier suspicionMillis) {
        this.self = self;
        this.suspicionMillis = suspicionMillis;
    }

    /**
     * Returns an empty table.
     *
     * @param self this instance, which the table leaves out
     * @param suspicionMillis the silence after which a member is suspected
     * @return the table
     */
    public static MembershipTable create(InstanceId self, long suspicionMillis) {
        return create(self, () -> suspicionMillis);
    }

    /**
     * Returns an empty table whose suspicion follows the configuration.
     *
     * @param self this instance, which the table leaves out
     * @param suspicionMillis gives the silence after which a member is suspected
     * @return the table
     */
    public static MembershipTable create(InstanceId self, LongSupplier suspicionMillis) {
        return new MembershipTable(self, suspicionMillis);
    }

    /**
     * Takes the platform's whole list.
     *
     * @param instances the list as it was read
     * @param nowMillis the present time
     */
    public void updateFromInstanceList(List<ListedInstance> instances, long nowMillis) {
        synchronized (lock) {
            entries.values().forEach(entry -> entry.markUnlisted(nowMillis));
            Set<UpstreamId> leaving = new HashSet<>(listedUpstreams);
            for (ListedInstance instance : instances) {
                if (instance.kind() == ListedInstance.Kind.ENTRY) {
                    listEntry(instance, nowMillis);
                } else {
                    listUpstream(instance, leaving);
                }
            }
            leavingUpstreams = Set.copyOf(leaving);
        }
    }

    private void listEntry(ListedInstance instance, long nowMillis) {
        InstanceId id = InstanceId.fromString(instance.id());
        if (!id.equals(self)) {
            entries.computeIfAbsent(id, unused -> new MemberEntry(id, nowMillis))
                    .markListed(instance);
        }
    }

    /** An upstream that was listed once and is listed no more has left; one never listed is just late in the list. */
    private void listUpstream(ListedInstance instance, Set<UpstreamId> leaving) {
        UpstreamId id = UpstreamId.fromString(instance.id());
        listedUpstreams.add(id);
        if (!instance.leaving()) {
            leaving.remove(id);
        }
    }

    /**
     * Takes a heartbeat or the answer to one.
     *
     * @param sighting what it says about its sender
     * @param nowMillis the present time
     * @return false when it comes from an earlier start of the instance and must be ignored
     */
    public boolean onHeartbeat(PeerHeartbeat sighting, long nowMillis) {
        if (sighting.id().equals(self)) {
            return false;
        }
        synchronized (lock) {
            return entries.computeIfAbsent(sighting.id(), id -> new MemberEntry(id, nowMillis))
                    .recordHeartbeat(sighting, nowMillis);
        }
    }

    /**
     * Returns the members that are not gone.
     *
     * @param nowMillis the present time
     * @return the members in the order of their ids, without this instance
     */
    public List<Member> members(long nowMillis) {
        List<Member> members = new ArrayList<>();
        synchronized (lock) {
            entries.values().removeIf(entry -> isForgotten(entry, nowMillis));
            for (MemberEntry entry : entries.values()) {
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
     * @param nowMillis the present time
     * @return the member, also when it is gone; empty when it was never seen
     */
    public Optional<Member> member(InstanceId id, long nowMillis) {
        synchronized (lock) {
            return Optional.ofNullable(entries.get(id)).map(entry -> entry.toMember(stateOf(entry, nowMillis)));
        }
    }

    /**
     * Returns the upstreams that must receive no new work because the platform takes them away or has done so.
     *
     * @return the upstreams
     */
    public Set<UpstreamId> leavingUpstreams() {
        synchronized (lock) {
            return leavingUpstreams;
        }
    }

    private Member.State stateOf(MemberEntry entry, long nowMillis) {
        long suspicion = suspicionMillis.getAsLong();
        return entry.state(nowMillis, suspicion, GONE_AFTER_SUSPICIONS * suspicion);
    }

    private boolean isForgotten(MemberEntry entry, long nowMillis) {
        return stateOf(entry, nowMillis) == Member.State.GONE
                && entry.silenceMillis(nowMillis) > FORGOTTEN_AFTER_SUSPICIONS * suspicionMillis.getAsLong();
    }
}
