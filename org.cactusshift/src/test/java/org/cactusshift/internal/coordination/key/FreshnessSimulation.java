package org.cactusshift.internal.coordination.key;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.stream.IntStream;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.InstanceId;

/**
 * Simulates nodes in failure domains with random partitions, store outages and node failures, and measures the longest
 * time for which a revoked key was accepted.
 *
 * <p>A partition separates whole failure domains. Time advances in ticks: nodes that can reach the store read the
 * configuration's head periodically, and nodes exchange heartbeats periodically. A revocation increments the version. A
 * node refuses keys only while its status is {@code CUT_OFF}.
 */
final class FreshnessSimulation {
    static final long TICK_MILLIS = 100;
    static final long HEARTBEAT_MILLIS = 500;
    static final long READ_MILLIS = 1000;
    static final long FRESHNESS_MILLIS = 4000;
    static final long EVIDENCE_MILLIS = 2000;

    private static final int DOMAIN_COUNT = 4;
    private static final int NODES_PER_DOMAIN = 2;

    private final Random random;
    private final EvidenceQuorum quorum;
    private final List<Node> nodes = new ArrayList<>();
    private final boolean[][] linkUp = new boolean[DOMAIN_COUNT][DOMAIN_COUNT];
    private final boolean[] storeUp = new boolean[DOMAIN_COUNT];
    private final Map<Long, Long> installedSinceMillisByVersion = new HashMap<>();
    private long storeVersion = 1;
    private long nowMillis;
    /** The longest time for which a revoked key was accepted; empty if none was. */
    private OptionalLong longestAcceptanceMillis = OptionalLong.empty();

    /** One node. */
    static final class Node {
        final InstanceId id;
        final int domain;
        KeyFreshness freshness;
        long version;
        boolean alive = true;

        Node(int domain, int number) {
            this.id = InstanceId.fromString("n" + domain + "-" + number);
            this.domain = domain;
        }

        FailureDomainId failureDomain() {
            return FailureDomainId.fromString("fd" + domain);
        }
    }

    FreshnessSimulation(long seed, EvidenceQuorum quorum) {
        this.random = new Random(seed);
        this.quorum = quorum;
        for (int domain = 0; domain < DOMAIN_COUNT; domain++) {
            storeUp[domain] = true;
            for (int other = 0; other < DOMAIN_COUNT; other++) {
                linkUp[domain][other] = true;
            }
            for (int number = 0; number < NODES_PER_DOMAIN; number++) {
                nodes.add(new Node(domain, number));
            }
        }
        nodes.forEach(this::start);
    }

    private void start(Node node) {
        node.freshness =
                KeyFreshness.withQuorum(node.id, node.failureDomain(), FRESHNESS_MILLIS, EVIDENCE_MILLIS, quorum);
        Map<InstanceId, FailureDomainId> members = new HashMap<>();
        nodes.forEach(member -> members.put(member.id, member.failureDomain()));
        node.freshness.onMembers(members);
        node.version = 0;
        node.alive = true;
    }

    /** Runs with random faults; returns the longest time for which a revoked key was accepted, empty if none was. */
    OptionalLong runWithFaults(long durationMillis) {
        while (nowMillis < durationMillis) {
            if (random.nextInt(20) == 0) {
                injectFault();
            }
            step();
        }
        return longestAcceptanceMillis;
    }

    void step() {
        nowMillis += TICK_MILLIS;
        for (Node node : nodes) {
            // The offset lets each failure domain read in a different tick.
            if (node.alive && storeUp[node.domain] && (nowMillis + node.domain * 300L) % READ_MILLIS == 0) {
                install(node, storeVersion);
                node.freshness.onStoreContact(nowMillis, storeVersion);
            }
        }
        for (Node node : nodes) {
            // The offset distributes the heartbeats of the nodes over the ticks of a period.
            if (node.alive && (nowMillis + nodes.indexOf(node) * 100L) % HEARTBEAT_MILLIS == 0) {
                nodes.forEach(peer -> heartbeat(node, peer));
            }
        }
        measureAcceptance();
    }

    private void injectFault() {
        int domain = random.nextInt(DOMAIN_COUNT);
        Node node = nodes.get(random.nextInt(nodes.size()));
        switch (random.nextInt(7)) {
            case 0 -> setConnected(domain, false);
            case 1 -> setConnected(domain, true);
            case 2 -> setLink(domain, random.nextInt(DOMAIN_COUNT), random.nextBoolean());
            case 3 -> storeUp[domain] = random.nextBoolean();
            case 4 -> setStore(random.nextInt(3) == 0);
            case 5 -> revokeKey();
            default -> setAlive(node, !node.alive);
        }
    }

    void setStore(boolean up) {
        IntStream.range(0, DOMAIN_COUNT).forEach(domain -> storeUp[domain] = up);
    }

    void setAlive(Node node, boolean alive) {
        if (alive) {
            start(node);
        }
        node.alive = alive;
    }

    void setConnected(int domain, boolean connected) {
        IntStream.range(0, DOMAIN_COUNT).forEach(other -> setLink(domain, other, connected));
    }

    private void setLink(int one, int other, boolean up) {
        if (one != other) {
            linkUp[one][other] = up;
            linkUp[other][one] = up;
        }
    }

    /** Revokes a key if some live node can reach the store; otherwise no revocation can be accepted. */
    private void revokeKey() {
        if (nodes.stream().anyMatch(node -> node.alive && storeUp[node.domain])) {
            storeVersion++;
        }
    }

    private void heartbeat(Node node, Node peer) {
        if (node == peer || !peer.alive || !linkUp[node.domain][peer.domain]) {
            return;
        }
        KeyFreshness.Report report = peer.freshness.report(nowMillis);
        node.freshness.onPeerContact(StoreContact.of(
                peer.id, peer.failureDomain(), nowMillis, report.contactAgeMillis(), report.configVersion()));
        peer.freshness.evidence(nowMillis).forEach(node.freshness::onRelayedEvidence);
        install(node, peer.version);
    }

    private void install(Node node, long version) {
        if (version > node.version) {
            node.version = version;
            node.freshness.onInstalled(version);
        }
    }

    /**
     * Updates the longest time for which a live node accepted keys although it lacked a revocation. A revocation counts
     * from the time since which at least one live node has had it installed without interruption.
     */
    private void measureAcceptance() {
        for (long version = 2; version <= storeVersion; version++) {
            long revokingVersion = version;
            if (nodes.stream().noneMatch(node -> node.alive && node.version >= revokingVersion)) {
                installedSinceMillisByVersion.remove(version);
            } else {
                installedSinceMillisByVersion.putIfAbsent(version, nowMillis);
            }
        }
        for (Node node : nodes) {
            Long installedSinceMillis = installedSinceMillisByVersion.get(node.version + 1);
            if (node.alive && installedSinceMillis != null && acceptsKeys(node)) {
                longestAcceptanceMillis =
                        OptionalLong.of(Math.max(longestAcceptanceMillis.orElse(0), nowMillis - installedSinceMillis));
            }
        }
    }

    boolean acceptsKeys(Node node) {
        return node.freshness.status(nowMillis) != KeyFreshness.Status.CUT_OFF;
    }

    List<Node> nodes() {
        return nodes;
    }
}
