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
 * Decides whether this node may honour keys although it can't reach the key-value service.
 *
 * <p>The view of the keys is fresh for a bounded time after a contact: a read of the configuration's head, by this node
 * or by a peer, that found no version newer than the one installed here. When the view is no longer fresh, service goes
 * on only if the service is away for everyone, since then no withdrawal can be accepted: at least one other node
 * answers, in every failure domain that has nodes half of them have said recently that they have no contact either, and
 * nobody has told of a newer version. Silence of a whole failure domain is no evidence, as the key-value service may be
 * reachable there. Above {@link PeerSelection#FULL_MESH_MAX_NODES} nodes only representatives hear other failure
 * domains; two of them are enough, and nodes pass the evidence on. Safe for several threads; reads no clock.
 */
public final class KeyFreshness {
    private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

    private final InstanceId self;
    private final FailureDomainId failureDomain;
    private final EvidenceQuorum rule;
    private final Object lock = new Object();
    private final Map<InstanceId, StoreContact> contacts = new HashMap<>();
    private Map<InstanceId, FailureDomainId> members = Map.of();
    private OptionalLong bestContactMillis = OptionalLong.empty();
    private final Map<FailureDomainId, Long> relayedEvidence = new HashMap<>();
    private long freshnessMillis;
    private long evidenceMillis;
    private long installedVersion;
    private long seenVersion;

    private KeyFreshness(
            InstanceId self,
            FailureDomainId failureDomain,
            long freshnessMillis,
            long evidenceMillis,
            EvidenceQuorum rule) {
        this.self = self;
        this.failureDomain = failureDomain;
        this.freshnessMillis = freshnessMillis;
        this.evidenceMillis = evidenceMillis;
        this.rule = rule;
    }

    /** What a node can show about its view of the keys. */
    public enum Status {
        /** The view is recent. */
        FRESH,
        /** The key-value service is away for everyone, so the view can't have been overtaken. */
        STORE_AWAY,
        /** The view may be out of date; keys must not be honoured. */
        CUT_OFF
    }

    /**
     * Returns the rule of a node that has had no contact yet.
     *
     * @param self this node
     * @param failureDomain its failure domain
     * @param freshnessMillis how long a contact counts
     * @param evidenceMillis how long a peer's word that it has no contact counts
     * @return the rule
     */
    public static KeyFreshness create(
            InstanceId self, FailureDomainId failureDomain, long freshnessMillis, long evidenceMillis) {
        return new KeyFreshness(self, failureDomain, freshnessMillis, evidenceMillis, KeyFreshness::halfOfNodes);
    }

    static KeyFreshness withRule(
            InstanceId self,
            FailureDomainId failureDomain,
            long freshnessMillis,
            long evidenceMillis,
            EvidenceQuorum rule) {
        return new KeyFreshness(self, failureDomain, freshnessMillis, evidenceMillis, rule);
    }

    static int halfOfNodes(int nodes, int allNodes) {
        int half = (nodes + 1) / 2;
        return allNodes <= PeerSelection.FULL_MESH_MAX_NODES
                ? half
                : Math.min(PeerSelection.REPRESENTATIVES_PER_DOMAIN, half);
    }

    /**
     * What a node tells its peers.
     *
     * @param contactAgeMillis the age of the last contact of which it knows, in milliseconds; negative when there was
     *     none
     * @param configVersion the version installed, which covers the state of the store at that contact
     */
    public record Report(long contactAgeMillis, long configVersion) {}

    /**
     * Replaces the limits of time.
     *
     * @param freshnessMillis how long a contact counts
     * @param evidenceMillis how long a peer's word that it has no contact counts
     */
    public void setTimeLimits(long freshnessMillis, long evidenceMillis) {
        synchronized (lock) {
            this.freshnessMillis = freshnessMillis;
            this.evidenceMillis = evidenceMillis;
        }
    }

    /**
     * Notes that this node read the head and has the version that it found, or a newer one.
     *
     * @param sentMillis when the read was sent; the answer proves nothing about the time after that
     * @param version the version found
     */
    public void onStoreContact(long sentMillis, long version) {
        synchronized (lock) {
            seenVersion = Math.max(seenVersion, version);
            if (installedVersion >= version) {
                raiseContact(sentMillis);
            }
        }
    }

    /**
     * Notes a peer's answer to a heartbeat.
     *
     * @param contact what the answer says
     */
    public void onPeerContact(StoreContact contact) {
        synchronized (lock) {
            StoreContact known = contacts.get(contact.peer());
            if (known == null || known.sentMillis() <= contact.sentMillis()) {
                contacts.put(contact.peer(), contact);
            }
            seenVersion = Math.max(seenVersion, contact.configVersion());
            useContact(contact);
        }
    }

    /**
     * Notes evidence that a peer passes on.
     *
     * @param domain a failure domain
     * @param millis the time as of which enough of its nodes had said that they have no contact, counted back from the
     *     sending of the heartbeat
     */
    public void onRelayedEvidence(FailureDomainId domain, long millis) {
        synchronized (lock) {
            relayedEvidence.merge(domain, millis, Math::max);
        }
    }

    /**
     * Returns the evidence to pass on.
     *
     * @param nowMillis the present time
     * @return for each failure domain with evidence that still counts, the time as of which it holds; nothing while the
     *     view is fresh
     */
    public Map<FailureDomainId, Long> evidence(long nowMillis) {
        synchronized (lock) {
            if (status(nowMillis) == Status.FRESH) {
                return Map.of();
            }
            Map<FailureDomainId, Long> evidence = evidenceByDomain(nowMillis);
            evidence.values().removeIf(millis -> !isRecent(millis, nowMillis));
            return evidence;
        }
    }

    /**
     * Notes that a configuration is installed.
     *
     * @param version its version
     */
    public void onInstalled(long version) {
        synchronized (lock) {
            installedVersion = Math.max(installedVersion, version);
            contacts.values().forEach(this::useContact);
        }
    }

    /**
     * Replaces the members of which evidence is required.
     *
     * @param members all members that are not known to be gone, with their failure domains; this node may be left out
     */
    public void onMembers(Map<InstanceId, FailureDomainId> members) {
        synchronized (lock) {
            Map<InstanceId, FailureDomainId> all = new HashMap<>(members);
            all.put(self, failureDomain);
            this.members = Map.copyOf(all);
            contacts.keySet().retainAll(all.keySet());
        }
    }

    /**
     * Returns the age of the last contact.
     *
     * @param nowMillis the present time
     * @return the age of the last contact of which this node knows, in milliseconds; negative when there was none
     */
    public long contactAgeMillis(long nowMillis) {
        synchronized (lock) {
            return bestContactMillis.isPresent() ? Math.max(0, nowMillis - bestContactMillis.getAsLong()) : -1;
        }
    }

    /**
     * Returns what to send in heartbeats, read at one instant: an age that is newer than the version beside it would
     * make a peer take its older keys for fresh.
     *
     * @param nowMillis the present time
     * @return the age and the version
     */
    public Report report(long nowMillis) {
        synchronized (lock) {
            return new Report(contactAgeMillis(nowMillis), installedVersion);
        }
    }

    /**
     * Decides whether keys may be honoured.
     *
     * @param nowMillis the present time
     * @return the status
     */
    public Status status(long nowMillis) {
        synchronized (lock) {
            if (bestContactMillis.isEmpty()) {
                return Status.CUT_OFF;
            }
            if (nowMillis - bestContactMillis.getAsLong() <= freshnessMillis) {
                return Status.FRESH;
            }
            return isStoreAwayForAll(nowMillis) ? Status.STORE_AWAY : Status.CUT_OFF;
        }
    }

    /** Recent answers mean "no contact" here: a fresh contact of a peer would have made this node fresh too. */
    private boolean isStoreAwayForAll(long nowMillis) {
        boolean heardAny = contacts.values().stream().anyMatch(contact -> isRecent(contact.sentMillis(), nowMillis));
        return heardAny
                && seenVersion <= installedVersion
                && evidenceByDomain(nowMillis).values().stream().allMatch(millis -> isRecent(millis, nowMillis));
    }

    private Map<FailureDomainId, Long> evidenceByDomain(long nowMillis) {
        Map<FailureDomainId, List<Long>> timesByDomain = new HashMap<>();
        members.forEach((id, domain) -> timesByDomain
                .computeIfAbsent(domain, unused -> new ArrayList<>())
                .add(askedMillis(id, nowMillis)));
        Map<FailureDomainId, Long> evidence = new HashMap<>();
        timesByDomain.forEach((domain, times) -> {
            times.sort(Comparator.reverseOrder());
            int required = rule.required(times.size(), members.size());
            long own = required == 0 ? nowMillis : times.get(required - 1);
            evidence.put(domain, Math.max(own, relayedEvidence.getOrDefault(domain, NEVER_MILLIS)));
        });
        return evidence;
    }

    private long askedMillis(InstanceId id, long nowMillis) {
        if (id.equals(self)) {
            return nowMillis;
        }
        StoreContact contact = contacts.get(id);
        return contact == null ? NEVER_MILLIS : contact.sentMillis();
    }

    private boolean isRecent(long millis, long nowMillis) {
        return millis >= nowMillis - evidenceMillis;
    }

    private void useContact(StoreContact contact) {
        if (contact.configVersion() <= installedVersion
                && contact.contactMillis().isPresent()) {
            raiseContact(contact.contactMillis().getAsLong());
        }
    }

    private void raiseContact(long millis) {
        if (bestContactMillis.isEmpty() || bestContactMillis.getAsLong() < millis) {
            bestContactMillis = OptionalLong.of(millis);
        }
    }
}
