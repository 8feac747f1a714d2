package org.cactusshift.internal.coordination.serving;

import java.util.HashMap;
import java.util.Map;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.quarantine.Quarantine;

/** Keeps the newest bulletin of each other node and spreads its content to those who decide. */
public final class PeerBoard {
    private final UpstreamDirectory directory;
    private final SharedClock clock;
    private final UsageCounts usage;
    private final Quarantine quarantine;
    private final Map<InstanceId, Heard> heard = new HashMap<>();

    private PeerBoard(UpstreamDirectory directory, SharedClock clock, UsageCounts usage, Quarantine quarantine) {
        this.directory = directory;
        this.clock = clock;
        this.usage = usage;
        this.quarantine = quarantine;
    }

    private record Heard(Bulletin bulletin, long atMillis) {}

    /**
     * Returns a board without bulletins.
     *
     * @param directory takes the work of others
     * @param clock takes their time of day
     * @param usage takes their counts
     * @param quarantine takes the crashes that they saw
     * @return the board
     */
    public static PeerBoard create(
            UpstreamDirectory directory, SharedClock clock, UsageCounts usage, Quarantine quarantine) {
        return new PeerBoard(directory, clock, usage, quarantine);
    }

    /**
     * Takes a bulletin.
     *
     * @param bulletin the bulletin
     * @param nowMillis the present time
     */
    public void onBulletin(Bulletin bulletin, long nowMillis) {
        heard.put(bulletin.node(), new Heard(bulletin, nowMillis));
        clock.onTold(bulletin.node(), bulletin.unixMillis(), nowMillis);
        bulletin.usage().forEach((window, counts) -> usage.onTold(bulletin.incarnation(), window, counts));
        for (PartUse use : bulletin.uses()) {
            directory.find(use.upstream()).ifPresent(upstream -> upstream.onRemoteUse(use.part()));
        }
        bulletin.crashes().forEach((fingerprint, count) -> quarantine.onRemote(fingerprint, count, nowMillis));
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
            other.bulletin().work().forEach((upstream, open) -> work.merge(upstream, open, RemoteWork::plus));
        }
        directory.setRemoteWork(work);
    }

    /**
     * Returns the number of other nodes that were heard lately.
     *
     * @return the number of nodes
     */
    public int liveNodes() {
        return heard.size();
    }
}
