package org.cactusshift.internal.coordination.serving;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.limits.UpstreamLimitReport;
import org.cactusshift.internal.coordination.performance.PerformanceReport;
import org.cactusshift.internal.coordination.quarantine.CrashHistory;

/** Stores the last received gossip message of each peer and passes its content to the components that use it. */
public final class GossipReceiver {
    private final UpstreamDirectory directory;
    private final SiteClock clock;
    private final UsageCounts usage;
    private final CrashHistory crashHistory;
    private final Consumer<UpstreamLimitReport> limitReceiver;
    private final Map<InstanceId, Received> receivedByNode = new HashMap<>();
    private Optional<UsageCollector> collector = Optional.empty();

    private GossipReceiver(
            UpstreamDirectory directory,
            SiteClock clock,
            UsageCounts usage,
            CrashHistory crashHistory,
            Consumer<UpstreamLimitReport> limitReceiver) {
        this.directory = directory;
        this.clock = clock;
        this.usage = usage;
        this.crashHistory = crashHistory;
        this.limitReceiver = limitReceiver;
    }

    private record Received(GossipMessage message, String address, long receivedAtMillis) {}

    /**
     * Returns a receiver without messages.
     *
     * @param directory receives the open requests of the peers
     * @param clock receives the wall-clock times of the peers
     * @param usage receives the usage counts of the peers
     * @param crashHistory receives the crashes that the peers report
     * @param limitReceiver receives the request limits that the peers report of listed upstreams
     * @return the receiver
     */
    public static GossipReceiver create(
            UpstreamDirectory directory,
            SiteClock clock,
            UsageCounts usage,
            CrashHistory crashHistory,
            Consumer<UpstreamLimitReport> limitReceiver) {
        return new GossipReceiver(directory, clock, usage, crashHistory, limitReceiver);
    }

    /**
     * Processes a gossip message.
     *
     * @param message the message
     * @param sender the address that the message came from, as {@code ADDRESS:PORT}; the peer receives messages there
     *     too
     * @param nowMillis the current time
     */
    public void onMessage(GossipMessage message, String sender, long nowMillis) {
        receivedByNode.put(message.node(), new Received(message, sender, nowMillis));
        clock.onPeerTime(message.node(), message.epochMillis(), nowMillis);
        message.usage()
                .forEach((node, windows) ->
                        windows.forEach((window, counts) -> usage.mergeRemote(node, window, counts)));
        message.collector().ifPresent(this::onCollector);
        for (PromptPartUse use : message.promptPartUses()) {
            directory.find(use.upstream()).ifPresent(upstream -> upstream.onRemotePartUse(use.part()));
        }
        for (PerformanceReport report : message.performance()) {
            directory
                    .find(report.upstream().upstream())
                    .filter(upstream -> upstream.incarnation().equals(report.upstream()))
                    .ifPresent(upstream -> upstream.performance()
                            .onPeerSamples(report.samples(), report.sumOfLogarithms(), nowMillis));
        }
        message.crashes().forEach(report -> crashHistory.onReport(report, nowMillis));
        message.completions().forEach(report -> crashHistory.onReport(report, nowMillis));
        for (UpstreamLimitReport limit : message.limits()) {
            if (directory.lists(limit.upstream())) {
                limitReceiver.accept(limit);
            }
        }
    }

    /**
     * Removes peers that have sent no message for a while and passes the open requests of the others to the directory.
     *
     * @param maximumSilenceMillis how long a peer may send no message
     * @param nowMillis the current time
     */
    public void expirePeers(long maximumSilenceMillis, long nowMillis) {
        receivedByNode.values().removeIf(received -> nowMillis - received.receivedAtMillis() > maximumSilenceMillis);
        Map<UpstreamId, OpenWork> work = new HashMap<>();
        for (Received received : receivedByNode.values()) {
            received.message().workByUpstream().forEach((upstream, open) -> work.merge(upstream, open, OpenWork::plus));
        }
        directory.setRemoteWork(work);
    }

    /**
     * Records the collector of usage counts as read from the store or received from a peer; one that is older than the
     * recorded one is ignored.
     *
     * @param reported the collector
     */
    public void onCollector(UsageCollector reported) {
        if (collector.isEmpty() || reported.fencingNumber() > collector.get().fencingNumber()) {
            collector = Optional.of(reported);
        }
    }

    /**
     * Returns the newest collector of usage counts.
     *
     * @return the collector, or empty while none is known
     */
    public Optional<UsageCollector> collector() {
        return collector;
    }

    /**
     * Returns the peers that sent a message recently, including those that are not registered.
     *
     * @return the peer addresses by node
     */
    public Map<InstanceId, String> peerAddresses() {
        Map<InstanceId, String> addresses = new HashMap<>();
        receivedByNode.forEach((node, received) -> addresses.put(node, received.address()));
        return addresses;
    }

    /**
     * Returns the incarnations of the peers that sent a message recently.
     *
     * @return the incarnations
     */
    public Set<IncarnationId> peerIncarnations() {
        Set<IncarnationId> incarnations = new HashSet<>();
        receivedByNode
                .values()
                .forEach(received -> incarnations.add(received.message().incarnation()));
        return incarnations;
    }

    /**
     * Returns the services that peers do not reach, by the last message of each.
     *
     * @return the services by node, without the nodes that reach all
     */
    public Map<InstanceId, Set<ServiceId>> unreachableServices() {
        Map<InstanceId, Set<ServiceId>> services = new HashMap<>();
        receivedByNode.forEach((node, received) -> {
            if (!received.message().unreachableServices().isEmpty()) {
                services.put(node, received.message().unreachableServices());
            }
        });
        return services;
    }

    /**
     * Returns the number of peers that sent a message recently.
     *
     * @return the number of nodes
     */
    public int livePeerCount() {
        return receivedByNode.size();
    }
}
