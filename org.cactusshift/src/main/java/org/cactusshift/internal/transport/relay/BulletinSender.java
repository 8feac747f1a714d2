package org.cactusshift.internal.transport.relay;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.lease.DutyHolder;
import org.cactusshift.internal.coordination.lease.RendezvousHash;
import org.cactusshift.internal.coordination.quarantine.Quarantine;
import org.cactusshift.internal.coordination.serving.Bulletin;
import org.cactusshift.internal.coordination.serving.PartUse;
import org.cactusshift.internal.coordination.serving.RemoteWork;
import org.cactusshift.internal.coordination.serving.Upstream;
import org.cactusshift.internal.coordination.serving.UpstreamDirectory;
import org.cactusshift.internal.coordination.serving.UsageCounts;

/** Tells the other nodes what this one does. */
final class BulletinSender {
    /** A node tells about this many others in each tick; in a larger site each hears it less often. */
    private static final int NODES_EACH_TICK = 8;

    /** The counts are told in each such tick. */
    private static final int USAGE_TICKS = 2;

    /** Nodes that learn the counts besides the holder of the usage duty, so that they outlive it. */
    private static final int USAGE_KEEPERS = 3;

    /** A use is told in this many rounds, so that a lost bulletin does not hide it. */
    private static final int USE_TOLD_ROUNDS = 3;

    private final DutyHolder self;
    private final PeerLink link;
    private final UpstreamDirectory directory;
    private final UsageCounts usage;
    private final Quarantine quarantine;
    private final long tickMillis;
    private Map<InstanceId, InetSocketAddress> known = new HashMap<>();
    private final ArrayDeque<RecentUse> recentUses = new ArrayDeque<>();
    private long ticks;

    private record RecentUse(PartUse use, long atMillis) {}

    private BulletinSender(
            DutyHolder self,
            PeerLink link,
            UpstreamDirectory directory,
            UsageCounts usage,
            Quarantine quarantine,
            long tickMillis) {
        this.self = self;
        this.link = link;
        this.directory = directory;
        this.usage = usage;
        this.quarantine = quarantine;
        this.tickMillis = tickMillis;
    }

    static BulletinSender create(
            DutyHolder self,
            PeerLink link,
            UpstreamDirectory directory,
            UsageCounts usage,
            Quarantine quarantine,
            long tickMillis) {
        return new BulletinSender(self, link, directory, usage, quarantine, tickMillis);
    }

    /** Notes the use of a long prompt part, to be told for a while. */
    void onUse(PartUse use, long nowMillis) {
        recentUses.addLast(new RecentUse(use, nowMillis));
    }

    void tick(
            Map<InstanceId, InetSocketAddress> members,
            Optional<DutyHolder> usageHolder,
            long unixMillis,
            long nowMillis) {
        if (!members.isEmpty()) {
            known = members;
        }
        ticks++;
        while (!recentUses.isEmpty() && nowMillis - recentUses.peekFirst().atMillis() > usesToldMillis()) {
            recentUses.removeFirst();
        }
        int parts = ticksPerRound();
        Bulletin bulletin = bulletin(unixMillis, Map.of(), nowMillis);
        Set<InstanceId> usageReaders = usageReaders(usageHolder);
        int index = 0;
        for (Map.Entry<InstanceId, InetSocketAddress> member : known.entrySet()) {
            boolean self = member.getKey().equals(this.self.instance());
            if (!self && usageReaders.contains(member.getKey()) && ticks % USAGE_TICKS == 0) {
                link.send(member.getValue(), bulletin(unixMillis, Map.copyOf(usage.own()), nowMillis));
            } else if (!self && (index + ticks) % parts == 0) {
                link.send(member.getValue(), bulletin);
            }
            index++;
        }
    }

    private long usesToldMillis() {
        return USE_TOLD_ROUNDS * ticksPerRound() * tickMillis;
    }

    /** Returns the ticks in which every other node is told once. */
    int ticksPerRound() {
        return 1 + (known.size() - 1) / NODES_EACH_TICK;
    }

    private Set<InstanceId> usageReaders(Optional<DutyHolder> usageHolder) {
        Set<InstanceId> readers = new HashSet<>();
        known.keySet().stream()
                .sorted(Comparator.comparingLong(node -> RendezvousHash.hash("usage " + node.value())))
                .limit(USAGE_KEEPERS)
                .forEach(readers::add);
        usageHolder.map(DutyHolder::instance).ifPresent(readers::add);
        return readers;
    }

    private Bulletin bulletin(long unixMillis, Map<Long, Map<AccountId, Long>> counts, long nowMillis) {
        Map<UpstreamId, RemoteWork> work = new HashMap<>();
        for (Upstream upstream : directory.all()) {
            if (upstream.openRequests() > 0) {
                work.put(upstream.id(), new RemoteWork(upstream.openRequests(), upstream.unreadTokens()));
            }
        }
        Map<Long, Integer> crashes = new HashMap<>();
        quarantine.suspects(nowMillis).forEach(suspect -> crashes.put(suspect.fingerprint(), suspect.crashes()));
        List<PartUse> uses = recentUses.stream().map(RecentUse::use).toList();
        return new Bulletin(self.instance(), self.incarnation(), unixMillis, work, counts, crashes, uses);
    }
}
