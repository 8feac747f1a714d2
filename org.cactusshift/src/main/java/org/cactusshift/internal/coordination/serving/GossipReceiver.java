package org.cactusshift.internal.coordination.serving;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.quarantine.Quarantine;

/** Keeps the newest bulletin of each other node and spreads its content to those who decide. */
public final class GossipReceiver {
    private final UpstreamDirectory directory;
    private final SiteClock clock;
    private final UsageCounts usage;
    private final Quarantine quarantine;
    private final Map<InstanceId, Heard> heard = new HashMap<>();
    private Optional<UsageCollector> collector = Optional.empty();

    private GossipReceiver(UpstreamDirectory directory, SiteClock clock, UsageCounts usage, Quarantine quarantine) {
        this.directory = directory;
        this.clock = clock;
        this.usage = usage;
        this.quarantine = quarantine;
    }

    private record Heard(GossipMessage bulletin, String address, long atMillis) {}

    /**
     * Returns a board without bulletins.
     *
     * @param directory takes the work of others
     * @param clock takes their time of day
     * @param usage takes their counts
     * @param quarantine takes the crashes that they saw
     * @return the board
     */
    public static GossipReceiver create(
            UpstreamDirectory directory, SiteClock clock, UsageCounts usage, Quarantine quarantine) {
        return new GossipReceiver(directory, clock, usage, quarantine);
    }

    /**
     * Takes a bulletin.
     *
     * @param bulletin the bulletin
     * @param sender the address from which it came, as {@code ADDRESS:PORT}; its node hears others there too
     * @param nowMillis the present time
     */
    public void onMessage(GossipMessage bulletin, String sender, long nowMillis) {
        heard.put(bulletin.node(), new Heard(bulletin, sender, nowMillis));
        clock.onPeerTime(bulletin.node(), bulletin.epochMillis(), nowMillis);
        bulletin.usage()
                .forEach((node, windows) ->
                        windows.forEach((window, counts) -> usage.mergeRemote(node, window, counts)));
        bulletin.collector().ifPresent(this::onCollector);
        for (PromptPartUse use : bulletin.promptPartUses()) {
            directory.find(use.upstream()).ifPresent(upstream -> upstream.onRemotePartUse(use.part()));
        }
        bulletin.crashes().forEach((fingerprint, count) -> quarantine.onRemoteCrashes(fingerprint, count, nowMillis));
    }

    /**
     * Forgets nodes that have not been heard and tells the directory what the others have under way.
     *
     * @param silentMillis how long a node may be silent
     * @param nowMillis the present time
     */
    public void refresh(long silentMillis, long nowMillis) {
        heard.values().removeIf(other -> nowMillis - other.atMillis() > silentMillis);
        Map<UpstreamId, RemoteWork> work = new HashMap<>();
        for (Heard other : heard.values()) {
            other.bulletin().workByUpstream().forEach((upstream, open) -> work.merge(upstream, open, RemoteWork::plus));
        }
        directory.setRemoteWork(work);
    }

    /**
     * Takes a collector of usage counts, from the store or from another node; an older one than known is left out.
     *
     * @param told the collector
     */
    public void onCollector(UsageCollector told) {
        if (collector.isEmpty() || told.fencingNumber() > collector.get().fencingNumber()) {
            collector = Optional.of(told);
        }
    }

    /**
     * Returns the newest collector of usage counts.
     *
     * @return the collector, empty while none is known
     */
    public Optional<UsageCollector> collector() {
        return collector;
    }

    /**
     * Returns the nodes that were heard lately, also when they are not registered.
     *
     * @return peer addresses by node
     */
    public Map<InstanceId, String> peerAddresses() {
        Map<InstanceId, String> addresses = new HashMap<>();
        heard.forEach((node, other) -> addresses.put(node, other.address()));
        return addresses;
    }

    /**
     * Returns the starts of the nodes that were heard lately.
     *
     * @return the starts
     */
    public Set<IncarnationId> peerIncarnations() {
        Set<IncarnationId> incarnations = new HashSet<>();
        heard.values().forEach(other -> incarnations.add(other.bulletin().incarnation()));
        return incarnations;
    }

    /**
     * Returns the number of other nodes that were heard lately.
     *
     * @return the number of nodes
     */
    public int livePeerCount() {
        return heard.size();
    }
}
