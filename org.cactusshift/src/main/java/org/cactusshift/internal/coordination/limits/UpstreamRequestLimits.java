package org.cactusshift.internal.coordination.limits;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.UpstreamId;

/**
 * Keeps the requests of all nodes together within the limits on requests per second that upstreams state in their
 * responses, without a call for each request.
 *
 * <p>An equal part of a limit for each node would be far below one request in the time over which a limit holds, and
 * the first requests of all nodes would exceed it. Therefore only a few nodes, the senders, send to a limited upstream.
 * They are the first ones in a ranking that all nodes agree on, where those that do not reach the service of the
 * upstream come last, and each sends at even intervals, beginning one
 * interval after it learned of the limit. If two halves of the site know different nodes, so that each has its own
 * senders, the requests of both are still within one and a half times the limit.
 *
 * <p>Nodes report limits to each other, so that one response is enough to tell all of them. A limit ends, for all
 * nodes, with the first response without one to a request that was sent after the limit was known. When no response has
 * come for a while, other nodes take turns to send a request, as the senders may have no requests of that kind.
 *
 * <p>Not thread-safe.
 */
public final class UpstreamRequestLimits {
    /** Returned when this node sends nothing to an upstream until the senders or the limit change. */
    public static final long NEVER = Long.MAX_VALUE;

    /** The share of a limit that is used; the rest covers nodes that do not agree on the senders. */
    private static final double USABLE_SHARE = 0.7;

    /** The number of senders, whatever the limit. */
    private static final int MINIMUM_SENDERS = 2;

    /** The number of further senders for each request per second. */
    private static final double SENDERS_PER_LIMIT = 0.2;

    /** The interval is never longer, so that the end of a limit of 0 is noticed. */
    private static final double MAXIMUM_INTERVAL_MILLIS = 10_000;

    /** The other nodes take turns when no response has come for this time and for three intervals. */
    private static final long QUIET_MILLIS = 10_000;

    private static final int QUIET_INTERVALS = 3;

    /** How long a turn takes, in which one of the other nodes sends one request. */
    private static final long TURN_MILLIS = 2_000;

    /** How long a change is reported with precedence; several times what it takes to reach all nodes. */
    private static final long NEWS_MILLIS = 3_000;

    /** The maximum number of recent changes in one message. */
    private static final int MAXIMUM_NEWS = 8;

    /** The maximum number of other reports in one message, for nodes that started later. */
    private static final int MAXIMUM_REPEATED = 2;

    private static final ServiceId UNKNOWN_SERVICE = ServiceId.fromString("-");

    /** How long the end of a limit is remembered, so that older reports do not restore the limit. */
    private static final long ENDED_RETENTION_MILLIS = 60_000;

    private final SenderRanking ranking;
    private final Function<UpstreamId, Optional<ServiceId>> services;

    /** In the order in which they were reported, the one reported longest ago at the head. */
    private final LinkedHashMap<UpstreamIncarnation, Entry> entryByUpstream = new LinkedHashMap<>();

    private UpstreamRequestLimits(InstanceId self, Function<UpstreamId, Optional<ServiceId>> services) {
        this.ranking = SenderRanking.create(self);
        this.services = services;
    }

    /** What a response or a report changed. */
    public enum Change {
        /** The upstream states the same limit as before, or none as before. */
        NONE,
        /** The upstream states a limit that was not known, or another one than before. */
        STATED,
        /** The upstream states no limit any more. */
        ENDED
    }

    private final class Entry {
        final UpstreamIncarnation upstream;
        long revision;
        OptionalDouble limit = OptionalDouble.empty();

        /** When this node learned of the current revision. */
        long learnedAtMillis;

        /** When the last response from which the limit was read arrived at any node. */
        long heardAtMillis = Long.MIN_VALUE / 2;

        boolean isSender;
        long nextSendMillis;

        /** The rank of this node, the number of nodes that reach the upstream, and the version of both. */
        int rank;

        int reachingNodes;
        long rankVersion = -1;

        Entry(UpstreamIncarnation upstream) {
            this.upstream = upstream;
        }

        void change(long newRevision, OptionalDouble newLimit, long nowMillis) {
            boolean wasLimited = limit.isPresent();
            revision = newRevision;
            limit = newLimit;
            learnedAtMillis = nowMillis;
            if (limit.isPresent()) {
                long intervalMillis = intervalMillis();
                nextSendMillis =
                        wasLimited ? Math.min(nextSendMillis, nowMillis + intervalMillis) : nowMillis + intervalMillis;
            }
        }

        int senderCount() {
            int wanted = MINIMUM_SENDERS + (int) (SENDERS_PER_LIMIT * limit.orElseThrow());
            updateRank();
            return Math.min(wanted, reachingNodes);
        }

        long intervalMillis() {
            return Math.round(
                    Math.min(MAXIMUM_INTERVAL_MILLIS, 1_000 * senderCount() / (USABLE_SHARE * limit.orElseThrow())));
        }

        int rank() {
            updateRank();
            return rank;
        }

        private void updateRank() {
            if (rankVersion != ranking.version()) {
                // An upstream that is not listed has no service that anybody reports.
                ServiceId service = services.apply(upstream.upstream()).orElse(UNKNOWN_SERVICE);
                rank = ranking.rank(upstream.upstream(), service);
                reachingNodes = ranking.reachingNodeCount(service);
                rankVersion = ranking.version();
            }
        }

        long earliestSendMillis(long nowMillis) {
            if (!ranking.isComplete()) {
                return NEVER;
            }
            int senders = senderCount();
            if (rank() < senders) {
                if (!isSender) {
                    isSender = true;
                    nextSendMillis = Math.max(nextSendMillis, nowMillis + intervalMillis());
                }
                return Math.max(nowMillis, nextSendMillis);
            }
            isSender = false;
            return isTurn(senders, nowMillis) && nextSendMillis <= nowMillis ? nowMillis : NEVER;
        }

        /** Returns whether this node, which is no sender, may send one request in place of the silent senders. */
        private boolean isTurn(int senders, long nowMillis) {
            long quietMillis = nowMillis - heardAtMillis - Math.max(QUIET_MILLIS, QUIET_INTERVALS * intervalMillis());
            return quietMillis >= 0 && quietMillis / TURN_MILLIS % (ranking.nodeCount() - senders) == rank() - senders;
        }

        void onSend(long nowMillis) {
            nextSendMillis =
                    Math.max(nextSendMillis, nowMillis) + Math.max(isSender ? 0 : TURN_MILLIS, intervalMillis());
        }

        UpstreamLimitReport report(long nowMillis) {
            return new UpstreamLimitReport(upstream, revision, limit, nowMillis - heardAtMillis);
        }
    }

    /**
     * Returns a registry in which no upstream has a limit.
     *
     * @param self this node
     * @param services returns the service of a listed upstream
     * @return the registry
     */
    public static UpstreamRequestLimits create(InstanceId self, Function<UpstreamId, Optional<ServiceId>> services) {
        return new UpstreamRequestLimits(self, services);
    }

    /**
     * Records which nodes of the site are known now. Before the first call, this node sends nothing to an upstream with
     * a limit.
     *
     * @param nodes the nodes, this one possibly included
     * @param nowMillis the current time
     */
    public void setNodes(Collection<InstanceId> nodes, long nowMillis) {
        ranking.setNodes(nodes, nowMillis);
    }

    /**
     * Records which services nodes of the site do not reach now. For some seconds longer such a node sends only when no
     * other may.
     *
     * @param servicesByNode the services by node, this one included
     * @param nowMillis the current time
     */
    public void setUnreachableServices(Map<InstanceId, Set<ServiceId>> servicesByNode, long nowMillis) {
        ranking.setUnreachableServices(servicesByNode, nowMillis);
    }

    /**
     * Records what a response of an upstream states.
     *
     * @param upstream the upstream
     * @param requestsPerSecond the limit that it states for all nodes together, empty when it states none
     * @param sentAtMillis when the request was sent
     * @param nowMillis the current time
     * @return what changed
     */
    public Change onResponse(
            UpstreamIncarnation upstream, OptionalDouble requestsPerSecond, long sentAtMillis, long nowMillis) {
        Entry entry = entryByUpstream.get(upstream);
        if (entry == null) {
            if (requestsPerSecond.isEmpty()) {
                return Change.NONE;
            }
            entry = add(upstream);
        }
        if (requestsPerSecond.isEmpty() && (entry.limit.isEmpty() || sentAtMillis <= entry.learnedAtMillis)) {
            // Not limited before, or the response may be older than the limit.
            return Change.NONE;
        }
        entry.heardAtMillis = Math.max(entry.heardAtMillis, nowMillis);
        if (entry.limit.equals(requestsPerSecond)) {
            return Change.NONE;
        }
        entry.change(entry.revision + 1, requestsPerSecond, nowMillis);
        return requestsPerSecond.isPresent() ? Change.STATED : Change.ENDED;
    }

    /**
     * Records what another node reports.
     *
     * @param report the report
     * @param nowMillis the current time
     * @return what changed
     */
    public Change onReport(UpstreamLimitReport report, long nowMillis) {
        Entry entry = entryByUpstream.get(report.upstream());
        if (entry == null) {
            if (report.requestsPerSecond().isEmpty()) {
                return Change.NONE;
            }
            entry = add(report.upstream());
        }
        boolean isNewer = report.revision() > entry.revision
                || (report.revision() == entry.revision && report.isStricterThan(entry.report(nowMillis)));
        if (report.revision() >= entry.revision) {
            entry.heardAtMillis = Math.max(entry.heardAtMillis, nowMillis - report.ageMillis());
        }
        if (!isNewer) {
            return Change.NONE;
        }
        boolean isSameLimit = entry.limit.equals(report.requestsPerSecond());
        entry.change(report.revision(), report.requestsPerSecond(), nowMillis);
        if (isSameLimit) {
            return Change.NONE;
        }
        return report.requestsPerSecond().isPresent() ? Change.STATED : Change.ENDED;
    }

    private Entry add(UpstreamIncarnation upstream) {
        Entry entry = new Entry(upstream);
        entryByUpstream.put(upstream, entry);
        return entry;
    }

    private Optional<Entry> limited(UpstreamIncarnation upstream) {
        return Optional.ofNullable(entryByUpstream.get(upstream)).filter(entry -> entry.limit.isPresent());
    }

    /**
     * Returns when this node may send a request to an upstream.
     *
     * @param upstream the upstream
     * @param nowMillis the current time
     * @return the current time if it may be sent now, a later time, or {@link #NEVER}
     */
    public long earliestSendMillis(UpstreamIncarnation upstream, long nowMillis) {
        return limited(upstream)
                .map(entry -> entry.earliestSendMillis(nowMillis))
                .orElse(nowMillis);
    }

    /**
     * Counts a request, or a connection that is opened for a check, whether or not it was allowed.
     *
     * @param upstream the upstream
     * @param nowMillis the current time
     */
    public void onSend(UpstreamIncarnation upstream, long nowMillis) {
        limited(upstream).ifPresent(entry -> entry.onSend(nowMillis));
    }

    /**
     * Returns whether an upstream has a limit that this node learned of after a time.
     *
     * @param upstream the upstream
     * @param millis the time
     * @return whether it has such a limit
     */
    public boolean isLimitedSince(UpstreamIncarnation upstream, long millis) {
        return limited(upstream).filter(entry -> entry.learnedAtMillis > millis).isPresent();
    }

    /**
     * Returns whether an upstream has a limit.
     *
     * @param upstream the upstream
     * @return whether it has a limit
     */
    public boolean isLimited(UpstreamIncarnation upstream) {
        return limited(upstream).isPresent();
    }

    /**
     * Returns the reports for the next message to other nodes: recent changes, then some others in turn.
     *
     * @param nowMillis the current time
     * @return a limited number of reports
     */
    public List<UpstreamLimitReport> nextReports(long nowMillis) {
        List<UpstreamLimitReport> reports = new ArrayList<>();
        ArrayDeque<Entry> reported = new ArrayDeque<>();
        int repeated = 0;
        for (Entry entry : entryByUpstream.values()) {
            boolean isNews = nowMillis - entry.learnedAtMillis <= NEWS_MILLIS;
            if (reports.size() < MAXIMUM_NEWS && (isNews || repeated < MAXIMUM_REPEATED)) {
                repeated += isNews ? 0 : 1;
                reports.add(entry.report(nowMillis));
                reported.addLast(entry);
            }
        }
        for (Entry entry : reported) {
            entryByUpstream.remove(entry.upstream);
            entryByUpstream.put(entry.upstream, entry);
        }
        return reports;
    }

    /**
     * Returns the number of upstreams with a limit.
     *
     * @return the number of upstreams
     */
    public int limitedCount() {
        return (int) entryByUpstream.values().stream()
                .filter(entry -> entry.limit.isPresent())
                .count();
    }

    /**
     * Removes limits that ended long ago, and the limits of upstreams that are gone.
     *
     * @param isListed whether an upstream is listed
     * @param nowMillis the current time
     */
    public void expire(Predicate<UpstreamIncarnation> isListed, long nowMillis) {
        for (Iterator<Map.Entry<UpstreamIncarnation, Entry>> entries =
                        entryByUpstream.entrySet().iterator();
                entries.hasNext(); ) {
            Map.Entry<UpstreamIncarnation, Entry> next = entries.next();
            Entry entry = next.getValue();
            boolean hasEnded = entry.limit.isEmpty() && nowMillis - entry.learnedAtMillis > ENDED_RETENTION_MILLIS;
            if (hasEnded || !isListed.test(next.getKey())) {
                entries.remove();
            }
        }
    }
}
