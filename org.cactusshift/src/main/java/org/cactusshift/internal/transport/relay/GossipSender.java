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
import org.cactusshift.internal.coordination.limits.UpstreamRequestLimits;
import org.cactusshift.internal.coordination.performance.PerformanceReport;
import org.cactusshift.internal.coordination.performance.PerformanceSamples;
import org.cactusshift.internal.coordination.quarantine.CrashHistory;
import org.cactusshift.internal.coordination.serving.GossipMessage;
import org.cactusshift.internal.coordination.serving.GossipReceiver;
import org.cactusshift.internal.coordination.serving.OpenWork;
import org.cactusshift.internal.coordination.serving.PromptPartUse;
import org.cactusshift.internal.coordination.serving.ServiceReachability;
import org.cactusshift.internal.coordination.serving.Upstream;
import org.cactusshift.internal.coordination.serving.UpstreamDirectory;
import org.cactusshift.internal.coordination.serving.UsageCollector;
import org.cactusshift.internal.coordination.serving.UsageCounts;

/** Sends the state of this node to its peers as gossip messages. */
final class GossipSender {
    /** Maximum number of peers that get a message in one tick; with more peers a round takes several ticks. */
    private static final int MAXIMUM_PEERS_PER_TICK = 8;

    /** Minimum period of the messages with usage counts, in ticks. */
    private static final int MINIMUM_USAGE_PERIOD_TICKS = 2;

    /**
     * Maximum number of messages with usage counts that a recipient gets in one tick; with more nodes, each sends them
     * less often.
     */
    private static final int MAXIMUM_USAGE_MESSAGES_PER_TICK = 25;

    /**
     * Number of nodes that receive the usage counts besides the holder of the usage duty, so that the counts survive
     * the loss of the holder; the holder or this node may be among them.
     */
    private static final int USAGE_BACKUP_NODES = 3;

    /** Number of usage windows before the current one whose counts are sent; older ones have been reported already. */
    private static final int SENT_USAGE_WINDOWS = 3;

    /** Number of rounds in which recent news is sent, so that one lost message does not hide it. */
    private static final int RECENT_ROUNDS = 3;

    private final DutyHolder self;
    private final PeerDatagramChannel channel;
    private final UpstreamDirectory directory;
    private final UsageCounts usage;
    private final CrashHistory crashHistory;
    private final UpstreamRequestLimits limits;
    private final ServiceReachability reachability;
    private final long tickMillis;
    private final GossipRound round;
    private Map<InstanceId, InetSocketAddress> peerAddressByNode = new HashMap<>();
    private final ArrayDeque<RecentUse> recentUses = new ArrayDeque<>();
    private final PerformanceSamples performanceSamples;
    private long ticks;

    private record RecentUse(PromptPartUse use, long usedAtMillis) {}

    private GossipSender(
            DutyHolder self,
            PeerDatagramChannel channel,
            UpstreamDirectory directory,
            UsageCounts usage,
            CrashHistory crashHistory,
            UpstreamRequestLimits limits,
            ServiceReachability reachability,
            long tickMillis) {
        this.self = self;
        this.channel = channel;
        this.directory = directory;
        this.usage = usage;
        this.crashHistory = crashHistory;
        this.limits = limits;
        this.reachability = reachability;
        this.tickMillis = tickMillis;
        this.performanceSamples = PerformanceSamples.create(tickMillis);
        this.round = GossipRound.create(self.instance());
    }

    static GossipSender create(
            DutyHolder self,
            PeerDatagramChannel channel,
            UpstreamDirectory directory,
            UsageCounts usage,
            CrashHistory crashHistory,
            UpstreamRequestLimits limits,
            ServiceReachability reachability,
            long tickMillis) {
        return new GossipSender(self, channel, directory, usage, crashHistory, limits, reachability, tickMillis);
    }

    /** Returns where the samples of upstreams are recorded that the peers are to get. */
    PerformanceSamples performanceSamples() {
        return performanceSamples;
    }

    /** Records the use of a long prompt part, to be sent for the next rounds. */
    void onUse(PromptPartUse use, long nowMillis) {
        recentUses.addLast(new RecentUse(use, nowMillis));
    }

    /**
     * Sends a message to the share of the peers that this tick serves, and the usage counts to their recipients when
     * they are due.
     *
     * @param newPeerAddressByNode the peer addresses of the nodes of the site, this one possibly included; empty leaves
     *     the last known ones in use
     * @param receiver provides the state received from the peers
     * @param epochMillis the wall-clock time
     * @param nowMillis the current monotonic time, in milliseconds
     */
    void tick(
            Map<InstanceId, InetSocketAddress> newPeerAddressByNode,
            GossipReceiver receiver,
            long epochMillis,
            long nowMillis) {
        if (!newPeerAddressByNode.isEmpty()) {
            peerAddressByNode = newPeerAddressByNode;
        }
        ticks++;
        while (!recentUses.isEmpty() && nowMillis - recentUses.peekFirst().usedAtMillis() > recentMillis()) {
            recentUses.removeFirst();
        }
        int roundTicks = ticksPerRound();
        boolean usageIsDue = ticks % usagePeriodTicks() == 0;
        Set<InstanceId> usageRecipientIds = usageRecipientIds(receiver.collector());
        List<InetSocketAddress> usageRecipients = new ArrayList<>();
        List<InetSocketAddress> additionalUsageRecipients = new ArrayList<>();
        List<InetSocketAddress> otherRecipients = new ArrayList<>();
        int index = 0;
        for (Map.Entry<InstanceId, InetSocketAddress> member : peerAddressByNode.entrySet()) {
            if (!member.getKey().equals(self.instance())) {
                if (usageIsDue && usageRecipientIds.contains(member.getKey())) {
                    // Outside of its turn, a peer gets no samples, so that each sample reaches it once.
                    boolean isItsTurn = round.serves(index, ticks, roundTicks);
                    (isItsTurn ? usageRecipients : additionalUsageRecipients).add(member.getValue());
                } else if (round.serves(index, ticks, roundTicks)) {
                    otherRecipients.add(member.getValue());
                }
            }
            index++;
        }
        List<PerformanceReport> performance = performanceSamples.nextReports(roundTicks);
        channel.send(otherRecipients, message(epochMillis, Map.of(), receiver.collector(), performance, nowMillis));
        sendUsage(usageRecipients, receiver, performance, epochMillis, nowMillis);
        sendUsage(additionalUsageRecipients, receiver, List.of(), epochMillis, nowMillis);
    }

    private void sendUsage(
            List<InetSocketAddress> recipients,
            GossipReceiver receiver,
            List<PerformanceReport> performance,
            long epochMillis,
            long nowMillis) {
        if (!recipients.isEmpty()) {
            Map<IncarnationId, Map<Long, Map<AccountId, Long>>> counts = usageCounts(receiver, epochMillis);
            channel.send(recipients, message(epochMillis, counts, receiver.collector(), performance, nowMillis));
        }
    }

    /** Returns the recent usage counts of this node and of the nodes from which no messages arrive any more. */
    private Map<IncarnationId, Map<Long, Map<AccountId, Long>>> usageCounts(GossipReceiver receiver, long epochMillis) {
        Map<IncarnationId, Map<Long, Map<AccountId, Long>>> usageCounts =
                usage.ofUnreachableNodes(receiver.peerIncarnations(), usage.window(epochMillis) - SENT_USAGE_WINDOWS);
        usageCounts.put(self.incarnation(), usage.own().tailMap(usage.window(epochMillis) - SENT_USAGE_WINDOWS));
        return usageCounts;
    }

    /** Returns the period, in milliseconds, of the messages with usage counts. */
    long usagePeriodMillis() {
        return usagePeriodTicks() * tickMillis;
    }

    private int usagePeriodTicks() {
        return usagePeriodTicks(peerAddressByNode.size());
    }

    /** Returns the number of ticks between two messages with usage counts of a node, among a number of nodes. */
    static int usagePeriodTicks(int nodes) {
        return Math.max(MINIMUM_USAGE_PERIOD_TICKS, 1 + (nodes - 1) / MAXIMUM_USAGE_MESSAGES_PER_TICK);
    }

    private long recentMillis() {
        return RECENT_ROUNDS * ticksPerRound() * tickMillis;
    }

    /** Returns the length of a round: the number of ticks in which each of the other nodes gets one message. */
    int ticksPerRound() {
        return 1 + (peerAddressByNode.size() - 1) / MAXIMUM_PEERS_PER_TICK;
    }

    private Set<InstanceId> usageRecipientIds(Optional<UsageCollector> collector) {
        // By the hash, nodes that know the same nodes choose the same recipients, so that their counts meet there.
        Set<InstanceId> usageRecipients = new HashSet<>();
        peerAddressByNode.keySet().stream()
                .sorted(Comparator.comparingLong(node -> RendezvousHash.hash("usage " + node.value())))
                .limit(USAGE_BACKUP_NODES)
                .forEach(usageRecipients::add);
        collector.map(UsageCollector::node).ifPresent(usageRecipients::add);
        return usageRecipients;
    }

    private GossipMessage message(
            long epochMillis,
            Map<IncarnationId, Map<Long, Map<AccountId, Long>>> usageCounts,
            Optional<UsageCollector> collector,
            List<PerformanceReport> performance,
            long nowMillis) {
        Map<UpstreamId, OpenWork> work = new HashMap<>();
        for (Upstream upstream : directory.all()) {
            boolean hasWork = upstream.openRequests() > 0 || upstream.heldTokens() > 0;
            // Requests behind a lost link do not load the upstream.
            if (hasWork && !reachability.isUnreachable(upstream.entry().service())) {
                work.put(upstream.id(), upstream.openWork());
            }
        }
        List<PromptPartUse> uses = recentUses.stream().map(RecentUse::use).toList();
        return new GossipMessage(
                self.instance(),
                self.incarnation(),
                epochMillis,
                work,
                usageCounts,
                collector,
                crashHistory.reports(recentMillis(), nowMillis),
                crashHistory.completionReports(recentMillis(), nowMillis),
                limits.nextReports(nowMillis),
                uses,
                reachability.unreachableServices(),
                performance);
    }
}
