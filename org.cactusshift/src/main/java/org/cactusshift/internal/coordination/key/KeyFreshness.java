package org.cactusshift.internal.coordination.key;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.internal.coordination.membership.PeerSelection;

/**
 * Decides whether this node may accept keys, also while it can't reach the key-value store.
 *
 * <p>The key view, this node's copy of the keys from the installed configuration, is fresh for a bounded time after a
 * store contact: a read of the configuration's head, the stored value that names the current version, by this node or
 * by a peer, that found no version newer than the one installed here. Once the view is stale, keys are accepted only
 * if the store is unavailable for all nodes, since then no revocation can be accepted either. The evidence required for
 * that: at least one other node responds, in every failure domain that has nodes, at least half of them (rounded up)
 * have recently reported that they have no contact either, and no node has reported a newer version. A failure domain
 * that does not respond at all is no evidence, as the store may be reachable from there. Above
 * {@link PeerSelection#FULL_MESH_MAX_NODES} nodes only representatives exchange heartbeats with other failure domains;
 * two of them are sufficient, and nodes relay the evidence. Thread-safe; reads no clock.
 */
public final class KeyFreshness {
    // Earlier than any time of the clock.
    private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

    private final InstanceId self;
    private final FailureDomainId failureDomain;
    private final EvidenceQuorum quorum;
    private final Object lock = new Object();
    private final Map<InstanceId, StoreContact> contactByPeer = new HashMap<>();
    private Map<InstanceId, FailureDomainId> domainByMember = Map.of();
    private OptionalLong latestContactAtMillis = OptionalLong.empty();
    private final Map<FailureDomainId, Long> relayedEvidenceAtMillisByDomain = new HashMap<>();
    private long freshnessLimitMillis;
    private long evidenceLimitMillis;
    private long installedConfigVersion;
    private long newestSeenConfigVersion;

    private KeyFreshness(
            InstanceId self,
            FailureDomainId failureDomain,
            long freshnessLimitMillis,
            long evidenceLimitMillis,
            EvidenceQuorum quorum) {
        this.self = self;
        this.failureDomain = failureDomain;
        this.freshnessLimitMillis = freshnessLimitMillis;
        this.evidenceLimitMillis = evidenceLimitMillis;
        this.quorum = quorum;
    }

    /** The state of a node's key view. */
    public enum Status {
        /** The key view is fresh. */
        FRESH,
        /** The store is unavailable for all nodes, so the key view can't have become outdated. */
        STORE_AWAY,
        /**
         * The node has had no store contact yet, or the key view is not fresh and it is not shown that the store is
         * unavailable for all nodes; keys must not be accepted.
         */
        CUT_OFF
    }

    /**
     * Creates the freshness state of a node that has had no store contact yet.
     *
     * @param self this node
     * @param failureDomain its failure domain
     * @param freshnessLimitMillis how long a store contact counts, in milliseconds
     * @param evidenceLimitMillis how long a peer's report that it has no contact counts, in milliseconds
     * @return the freshness state
     */
    public static KeyFreshness create(
            InstanceId self, FailureDomainId failureDomain, long freshnessLimitMillis, long evidenceLimitMillis) {
        return new KeyFreshness(
                self, failureDomain, freshnessLimitMillis, evidenceLimitMillis, KeyFreshness::requiredReports);
    }

    static KeyFreshness withQuorum(
            InstanceId self,
            FailureDomainId failureDomain,
            long freshnessLimitMillis,
            long evidenceLimitMillis,
            EvidenceQuorum quorum) {
        return new KeyFreshness(self, failureDomain, freshnessLimitMillis, evidenceLimitMillis, quorum);
    }

    /**
     * Returns half of the nodes of a failure domain, rounded up; in a site above the full-mesh size at most the number
     * of representatives of a failure domain.
     */
    static int requiredReports(int nodes, int allNodes) {
        int half = (nodes + 1) / 2;
        return allNodes <= PeerSelection.FULL_MESH_MAX_NODES
                ? half
                : Math.min(PeerSelection.REPRESENTATIVES_PER_DOMAIN, half);
    }

    /**
     * What a node reports to its peers of its last store contact, in heartbeat responses.
     *
     * @param contactAgeMillis the age of its last known store contact, in milliseconds; negative when there was none
     * @param configVersion the installed version, which covers the state of the store at that contact
     */
    public record Report(long contactAgeMillis, long configVersion) {}

    /**
     * Replaces the time limits.
     *
     * @param freshnessLimitMillis how long a store contact counts, in milliseconds
     * @param evidenceLimitMillis how long a peer's report that it has no contact counts, in milliseconds
     */
    public void setTimeLimits(long freshnessLimitMillis, long evidenceLimitMillis) {
        synchronized (lock) {
            this.freshnessLimitMillis = freshnessLimitMillis;
            this.evidenceLimitMillis = evidenceLimitMillis;
        }
    }

    /**
     * Records that this node read the configuration's head. Counts as a contact if the version found, or a newer one,
     * is installed.
     *
     * @param sentMillis when the read was sent; the response proves nothing about the time after that
     * @param version the version found
     */
    public void onStoreContact(long sentMillis, long version) {
        synchronized (lock) {
            newestSeenConfigVersion = Math.max(newestSeenConfigVersion, version);
            if (installedConfigVersion >= version) {
                advanceContact(sentMillis);
            }
        }
    }

    /**
     * Records the store contact in a peer's heartbeat response.
     *
     * @param contact the peer's store contact
     */
    public void onPeerContact(StoreContact contact) {
        synchronized (lock) {
            StoreContact previous = contactByPeer.get(contact.peer());
            if (previous == null || previous.sentMillis() <= contact.sentMillis()) {
                contactByPeer.put(contact.peer(), contact);
            }
            newestSeenConfigVersion = Math.max(newestSeenConfigVersion, contact.configVersion());
            applyContact(contact);
        }
    }

    /**
     * Records evidence that a peer relays.
     *
     * @param domain a failure domain
     * @param evidenceAtMillis the time as of which a quorum of its nodes had reported no contact, on this node's clock:
     *     the sending of the heartbeat less the age in the response
     */
    public void onRelayedEvidence(FailureDomainId domain, long evidenceAtMillis) {
        synchronized (lock) {
            relayedEvidenceAtMillisByDomain.merge(domain, evidenceAtMillis, Math::max);
        }
    }

    /**
     * Returns the evidence to relay to peers.
     *
     * @param nowMillis the current monotonic time, in milliseconds
     * @return the time as of which the evidence holds, by failure domain, for evidence that still counts; empty while
     *     the key view is fresh
     */
    public Map<FailureDomainId, Long> evidence(long nowMillis) {
        synchronized (lock) {
            if (status(nowMillis) == Status.FRESH) {
                return Map.of();
            }
            Map<FailureDomainId, Long> evidence = evidenceByDomain(nowMillis);
            evidence.values().removeIf(evidenceAtMillis -> !isRecent(evidenceAtMillis, nowMillis));
            return evidence;
        }
    }

    /**
     * Records that a configuration was installed.
     *
     * @param version its version
     */
    public void onInstalled(long version) {
        synchronized (lock) {
            installedConfigVersion = Math.max(installedConfigVersion, version);
            contactByPeer.values().forEach(this::applyContact);
        }
    }

    /**
     * Replaces the members from which evidence is required.
     *
     * @param members the failure domains by member, for all members that are not known to be gone; with or without this
     *     node
     */
    public void onMembers(Map<InstanceId, FailureDomainId> members) {
        synchronized (lock) {
            Map<InstanceId, FailureDomainId> all = new HashMap<>(members);
            all.put(self, failureDomain);
            this.domainByMember = Map.copyOf(all);
            contactByPeer.keySet().retainAll(all.keySet());
        }
    }

    /**
     * Returns the age of the last store contact.
     *
     * @param nowMillis the current monotonic time, in milliseconds
     * @return the age of the last known store contact, in milliseconds; negative when there was none
     */
    public long contactAgeMillis(long nowMillis) {
        synchronized (lock) {
            return latestContactAtMillis.isPresent() ? Math.max(0, nowMillis - latestContactAtMillis.getAsLong()) : -1;
        }
    }

    /**
     * Returns the state to send in heartbeats, read atomically: an age that belongs to a newer version than the one
     * reported beside it would make a peer treat older keys as fresh.
     *
     * @param nowMillis the current monotonic time, in milliseconds
     * @return the age and the version
     */
    public Report report(long nowMillis) {
        synchronized (lock) {
            return new Report(contactAgeMillis(nowMillis), installedConfigVersion);
        }
    }

    /**
     * Returns the state of the key view; keys may be accepted unless it is {@link Status#CUT_OFF}.
     *
     * @param nowMillis the current monotonic time, in milliseconds
     * @return the status
     */
    public Status status(long nowMillis) {
        synchronized (lock) {
            if (latestContactAtMillis.isEmpty()) {
                return Status.CUT_OFF;
            }
            if (nowMillis - latestContactAtMillis.getAsLong() <= freshnessLimitMillis) {
                return Status.FRESH;
            }
            return isStoreUnavailableForAll(nowMillis) ? Status.STORE_AWAY : Status.CUT_OFF;
        }
    }

    /**
     * Returns whether the store is unavailable for all nodes. Called only while the view is stale: a peer with a fresh
     * contact would have made it fresh, so each peer that responded recently has no contact.
     */
    private boolean isStoreUnavailableForAll(long nowMillis) {
        boolean hasRecentResponse =
                contactByPeer.values().stream().anyMatch(contact -> isRecent(contact.sentMillis(), nowMillis));
        return hasRecentResponse
                && newestSeenConfigVersion <= installedConfigVersion
                && evidenceByDomain(nowMillis).values().stream()
                        .allMatch(evidenceAtMillis -> isRecent(evidenceAtMillis, nowMillis));
    }

    private Map<FailureDomainId, Long> evidenceByDomain(long nowMillis) {
        Map<FailureDomainId, List<Long>> timesByDomain = new HashMap<>();
        domainByMember.forEach((id, domain) -> timesByDomain
                .computeIfAbsent(domain, unused -> new ArrayList<>())
                .add(reportedAtMillis(id, nowMillis)));
        Map<FailureDomainId, Long> evidence = new HashMap<>();
        timesByDomain.forEach((domain, times) -> {
            times.sort(Comparator.reverseOrder());
            int required = quorum.requiredReports(times.size(), domainByMember.size());
            // A quorum of 0, which only a test injects, makes the evidence current.
            long directEvidenceAtMillis = required == 0 ? nowMillis : times.get(required - 1);
            evidence.put(
                    domain,
                    Math.max(
                            directEvidenceAtMillis,
                            relayedEvidenceAtMillisByDomain.getOrDefault(domain, NEVER_MILLIS)));
        });
        return evidence;
    }

    /**
     * Returns when a node last reported, that is when the last heartbeat to which it responded was sent; this node
     * itself reports at any time.
     */
    private long reportedAtMillis(InstanceId id, long nowMillis) {
        if (id.equals(self)) {
            return nowMillis;
        }
        StoreContact contact = contactByPeer.get(id);
        return contact == null ? NEVER_MILLIS : contact.sentMillis();
    }

    private boolean isRecent(long reportedAtMillis, long nowMillis) {
        return reportedAtMillis >= nowMillis - evidenceLimitMillis;
    }

    private void applyContact(StoreContact contact) {
        if (contact.configVersion() <= installedConfigVersion
                && contact.contactMillis().isPresent()) {
            advanceContact(contact.contactMillis().getAsLong());
        }
    }

    private void advanceContact(long contactMillis) {
        if (latestContactAtMillis.isEmpty() || latestContactAtMillis.getAsLong() < contactMillis) {
            latestContactAtMillis = OptionalLong.of(contactMillis);
        }
    }
}
