package org.cactusshift.internal.transport.relay;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.lease.DutyHolder;
import org.cactusshift.internal.coordination.lease.RendezvousHash;
import org.cactusshift.internal.coordination.quarantine.Quarantine;
import org.cactusshift.internal.coordination.serving.GossipMessage;
import org.cactusshift.internal.coordination.serving.GossipReceiver;
import org.cactusshift.internal.coordination.serving.PromptPartUse;
import org.cactusshift.internal.coordination.serving.RemoteWork;
import org.cactusshift.internal.coordination.serving.Upstream;
import org.cactusshift.internal.coordination.serving.UpstreamDirectory;
import org.cactusshift.internal.coordination.serving.UsageCollector;
import org.cactusshift.internal.coordination.serving.UsageCounts;

/** Tells the other nodes what this one does. */
final class GossipSender {
    /** A node tells about this many others in each tick; in a larger site each hears it less often. */
    private static final int NODES_EACH_TICK = 8;

    /** The counts are told at this distance at least; in a larger site once in a round. */
    private static final int FEWEST_USAGE_TICKS = 2;

    /** Nodes that learn the counts besides the holder of the usage duty, so that they outlive it. */
    private static final int USAGE_KEEPERS = 3;

    /** Older windows than these are reported already. */
    private static final int TOLD_WINDOWS = 3;

    /** A use is told in this many rounds, so that a lost bulletin does not hide it. */
    private static final int USE_TOLD_ROUNDS = 3;

    private final DutyHolder self;
    private final PeerDatagramChannel link;
    private final UpstreamDirectory directory;
    private final UsageCounts usage;
    private final Quarantine quarantine;
    private final long tickMillis;
    private Map<InstanceId, InetSocketAddress> known = new HashMap<>();
    private final ArrayDeque<RecentUse> recentUses = new ArrayDeque<>();
    private long ticks;

    private record RecentUse(PromptPartUse use, long atMillis) {}

    private GossipSender(
            DutyHolder self,
            PeerDatagramChannel link,
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

    static GossipSender create(
            DutyHolder self,
            PeerDatagramChannel link,
            UpstreamDirectory directory,
            UsageCounts usage,
            Quarantine quarantine,
            long tickMillis) {
        return new GossipSender(self, link, directory, usage, quarantine, tickMillis);
    }

    /** Notes the use of a long prompt part, to be told for a while. */
    void onUse(PromptPartUse use, long nowMillis) {
        recentUses.addLast(new RecentUse(use, nowMillis));
    }

    /**
     * Tells the nodes whose turn it is.
     *
     * @param members the nodes of the site
     * @param board what was heard from them
     * @param unixMillis the time of day
     * @param nowMillis the present time
     */
    void tick(Map<InstanceId, InetSocketAddress> members, GossipReceiver board, long unixMillis, long nowMillis) {
        if (!members.isEmpty()) {
            known = members;
        }
        ticks++;
        while (!recentUses.isEmpty() && nowMillis - recentUses.peekFirst().atMillis() > usesToldMillis()) {
            recentUses.removeFirst();
        }
        int parts = ticksPerRound();
        boolean usageIsDue = ticks % usageTicks() == 0;
        Set<InstanceId> usageReaders = usageReaders(board.collector());
        List<InetSocketAddress> readers = new ArrayList<>();
        List<InetSocketAddress> others = new ArrayList<>();
        int index = 0;
        for (Map.Entry<InstanceId, InetSocketAddress> member : known.entrySet()) {
            if (!member.getKey().equals(self.instance())) {
                if (usageIsDue && usageReaders.contains(member.getKey())) {
                    readers.add(member.getValue());
                } else if ((index + ticks) % parts == 0) {
                    others.add(member.getValue());
                }
            }
            index++;
        }
        link.send(others, bulletin(unixMillis, Map.of(), board.collector(), nowMillis));
        if (!readers.isEmpty()) {
            link.send(readers, bulletin(unixMillis, counts(board, unixMillis), board.collector(), nowMillis));
        }
    }

    private Map<IncarnationId, Map<Long, Map<AccountId, Long>>> counts(GossipReceiver board, long unixMillis) {
        Map<IncarnationId, Map<Long, Map<AccountId, Long>>> counts =
                usage.ofUnreachableNodes(board.peerIncarnations(), usage.window(unixMillis) - TOLD_WINDOWS);
        counts.put(self.incarnation(), usage.own().tailMap(usage.window(unixMillis) - TOLD_WINDOWS));
        return counts;
    }

    /** Returns the time within which the counts of a window have reached those who collect them. */
    long usageMillis() {
        return usageTicks() * tickMillis;
    }

    private int usageTicks() {
        return Math.max(FEWEST_USAGE_TICKS, ticksPerRound());
    }

    private long usesToldMillis() {
        return USE_TOLD_ROUNDS * ticksPerRound() * tickMillis;
    }

    /** Returns the ticks in which every other node is told once. */
    int ticksPerRound() {
        return 1 + (known.size() - 1) / NODES_EACH_TICK;
    }

    private Set<InstanceId> usageReaders(Optional<UsageCollector> collector) {
        Set<InstanceId> readers = new HashSet<>();
        known.keySet().stream()
                .sorted(Comparator.comparingLong(node -> RendezvousHash.hash("usage " + node.value())))
                .limit(USAGE_KEEPERS)
                .forEach(readers::add);
        collector.map(UsageCollector::node).ifPresent(readers::add);
        return readers;
    }

    private GossipMessage bulletin(
            long unixMillis,
            Map<IncarnationId, Map<Long, Map<AccountId, Long>>> counts,
            Optional<UsageCollector> collector,
            long nowMillis) {
        Map<UpstreamId, RemoteWork> work = new HashMap<>();
        for (Upstream upstream : directory.all()) {
            if (upstream.openRequests() > 0) {
                work.put(upstream.id(), new RemoteWork(upstream.openRequests(), upstream.pendingPrefillTokens()));
            }
        }
        Map<Long, Integer> crashes = new HashMap<>();
        quarantine.localSuspects(nowMillis).forEach(suspect -> crashes.put(suspect.fingerprint(), suspect.crashes()));
        List<PromptPartUse> uses = recentUses.stream().map(RecentUse::use).toList();
        return new GossipMessage(
                self.instance(), self.incarnation(), unixMillis, work, counts, collector, crashes, uses);
    }
}
