package org.cactusshift.internal.coordination.limits;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.UpstreamId;

/**
 * A simulated site whose nodes have requests for one upstream all the time. Nodes exchange reports as in the gossip of
 * the relay: in each tick, every node sends to a few others.
 */
final class LimitedSite {
    /** The window over which the rate at the upstream is measured. */
    static final long WINDOW_MILLIS = 4_000;

    private static final long TICK_MILLIS = 250;
    private static final long STEP_MILLIS = 50;

    /** How often a node reads which nodes there are. */
    private static final long MEMBERSHIP_MILLIS = 4_000;

    private static final int PEERS_PER_TICK = 8;
    private static final long RESPONSE_MILLIS = 100;
    private static final ServiceId SERVICE = ServiceId.fromString("s");

    private final Random random;
    private final List<Node> nodes = new ArrayList<>();
    private final List<Long> arrivalsMillis = new ArrayList<>();
    private UpstreamIncarnation upstream = new UpstreamIncarnation(UpstreamId.fromString("i-1"), 1);
    private OptionalDouble statedLimit = OptionalDouble.empty();
    private long nowMillis = 100_000;

    /** A node of the site. */
    final class Node {
        final InstanceId id;
        UpstreamRequestLimits limits;

        /** The nodes that this one knows and sends reports to. */
        List<Node> peers = new ArrayList<>();

        boolean isPaused;

        /** Whether this node has lost its links to the upstream, and does not send to it therefore. */
        boolean hasLostLinks;

        boolean hasRequests = true;
        private final Map<InstanceId, Set<ServiceId>> unreachableServices = new HashMap<>();
        private final ArrayDeque<Response> responses = new ArrayDeque<>();

        private Node(int number) {
            id = InstanceId.fromString("node-" + number);
            limits = UpstreamRequestLimits.create(id, any -> Optional.of(SERVICE));
        }

        /** Forgets everything, as a new process does. */
        void restart() {
            limits = UpstreamRequestLimits.create(id, any -> Optional.of(SERVICE));
            responses.clear();
        }

        boolean mayRequest() {
            return limits.earliestSendMillis(upstream, nowMillis) <= nowMillis;
        }

        private void receiveResponses() {
            while (!responses.isEmpty() && responses.peekFirst().arrivesAtMillis <= nowMillis) {
                Response response = responses.removeFirst();
                limits.onResponse(upstream, response.limit, response.sentAtMillis, nowMillis);
            }
        }

        private void setLinks(InstanceId node, boolean areLost) {
            if (areLost) {
                unreachableServices.put(node, Set.of(SERVICE));
            } else {
                unreachableServices.remove(node);
            }
        }

        /** Sends one request if it has one and no other is open; half of the nodes do so in a step. */
        private void request() {
            if (hasRequests && !hasLostLinks && responses.isEmpty() && random.nextBoolean() && mayRequest()) {
                limits.onSend(upstream, nowMillis);
                arrivalsMillis.add(nowMillis);
                responses.addLast(new Response(statedLimit, nowMillis, nowMillis + RESPONSE_MILLIS));
            }
        }

        private void exchangeReports() {
            if (nowMillis % MEMBERSHIP_MILLIS == 0) {
                limits.setNodes(peers.stream().map(peer -> peer.id).toList(), nowMillis);
            }
            List<UpstreamLimitReport> reports = limits.nextReports(nowMillis);
            for (int i = 0; i < PEERS_PER_TICK; i++) {
                Node recipient = peers.get(random.nextInt(peers.size()));
                if (!recipient.isPaused) {
                    reports.forEach(report -> recipient.limits.onReport(report, nowMillis));
                }
            }
            setLinks(id, hasLostLinks);
            int ticksPerRound = 1 + (peers.size() - 1) / PEERS_PER_TICK;
            for (int i = (int) (nowMillis / TICK_MILLIS % ticksPerRound); i < peers.size(); i += ticksPerRound) {
                if (!peers.get(i).isPaused) {
                    peers.get(i).setLinks(id, hasLostLinks);
                }
            }
            limits.setUnreachableServices(unreachableServices, nowMillis);
        }
    }

    private record Response(OptionalDouble limit, long sentAtMillis, long arrivesAtMillis) {}

    LimitedSite(int nodeCount, long seed) {
        random = new Random(seed);
        for (int i = 0; i < nodeCount; i++) {
            nodes.add(new Node(i));
        }
        nodes.forEach(node -> node.peers.addAll(nodes));
    }

    List<Node> nodes() {
        return nodes;
    }

    Node addNode() {
        Node node = new Node(nodes.size());
        nodes.forEach(each -> each.peers.add(node));
        nodes.add(node);
        node.peers.addAll(nodes);
        return node;
    }

    /** Splits the site into two groups that know only their own nodes. */
    void partition() {
        for (int i = 0; i < nodes.size(); i++) {
            List<Node> group = new ArrayList<>();
            for (int j = i % 2; j < nodes.size(); j += 2) {
                group.add(nodes.get(j));
            }
            nodes.get(i).peers = group;
        }
    }

    /** Takes the links to the upstream from a number of nodes, beginning with those that send to it. */
    void loseLinks(int count) {
        nodes.stream()
                .sorted(Comparator.comparing(
                        node -> node.limits.earliestSendMillis(upstream, nowMillis) == UpstreamRequestLimits.NEVER))
                .limit(count)
                .forEach(node -> node.hasLostLinks = true);
    }

    void stateLimit(OptionalDouble limit) {
        statedLimit = limit;
    }

    /** Starts the upstream again, without a limit and under the same id. */
    void restartUpstream() {
        upstream = new UpstreamIncarnation(upstream.upstream(), upstream.startedAtEpochMillis() + 1);
        statedLimit = OptionalDouble.empty();
        nodes.forEach(node -> node.responses.clear());
    }

    void run(long millis) {
        for (long end = nowMillis + millis; nowMillis < end; nowMillis += STEP_MILLIS) {
            for (Node node : nodes) {
                if (!node.isPaused) {
                    node.receiveResponses();
                    if (nowMillis % TICK_MILLIS == 0) {
                        node.exchangeReports();
                    }
                    node.request();
                }
            }
        }
    }

    long nowMillis() {
        return nowMillis;
    }

    /** Returns the number of requests that arrived since a time. */
    long arrivalsSince(long millis) {
        return arrivalsMillis.stream().filter(arrival -> arrival >= millis).count();
    }

    /** Returns the highest number of requests that arrived in any window that begins at or after a time. */
    int mostInAWindow(long fromMillis) {
        int most = 0;
        int first = 0;
        for (int last = 0; last < arrivalsMillis.size(); last++) {
            while (arrivalsMillis.get(first) < fromMillis
                    || arrivalsMillis.get(last) - arrivalsMillis.get(first) >= WINDOW_MILLIS) {
                if (first == last) {
                    break;
                }
                first++;
            }
            if (arrivalsMillis.get(first) >= fromMillis) {
                most = Math.max(most, last - first + 1);
            }
        }
        return most;
    }
}
