package org.cactusshift.internal.coordination.key;

import static org.cactusshift.internal.coordination.key.KeyFreshness.Status;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.Map;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.InstanceId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class KeyFreshnessTest {
    private static final long FRESHNESS_MILLIS = 4000;
    private static final long EVIDENCE_MILLIS = 2000;
    private static final long NOW_MILLIS = 100_000;
    private static final long LAST_CONTACT_AT_MILLIS = 50_000;

    /**
     * The site has two nodes in each of the failure domains a to d; this node is a0. {@code responding} lists the nodes
     * that responded recently; each reports the installed version, 3, and that it has no contact.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "store unavailable, all nodes respond        | a1 b0 b1 c0 c1 d0 d1 | STORE_AWAY",
                "store unavailable, a node per domain down   | b0 c1 d0             | STORE_AWAY",
                "other node of own domain down              | b0 b1 c0 c1 d0 d1    | STORE_AWAY",
                "this node isolated                         | ''                   | CUT_OFF",
                "this failure domain isolated               | a1                   | CUT_OFF",
                "one failure domain not responding          | a1 b0 b1 c0 c1       | CUT_OFF",
                "half of the domains not responding         | a1 b0 b1             | CUT_OFF",
            })
    void distinguishesUnavailableStoreFromIsolation(String label, String responding, Status expected) {
        KeyFreshness freshness = site(Map.of("b", 2, "c", 2, "d", 2, "a", 2));
        for (String peer : responding.isEmpty() ? new String[0] : responding.split(" ")) {
            reportContact(freshness, peer, NOW_MILLIS - 100, NOW_MILLIS - LAST_CONTACT_AT_MILLIS, 3);
        }

        assertEquals(expected, freshness.status(NOW_MILLIS), label);
    }

    @ParameterizedTest
    @CsvSource({
        // time since the heartbeat was sent, age in the response, version in the response, status
        "100, 1000, 3, FRESH",
        "100, 3900, 3, FRESH",
        "100, 3901, 3, STORE_AWAY",
        "2000, 9000, 3, STORE_AWAY",
        "2001, 9000, 3, CUT_OFF",
        "100, -1, 3, STORE_AWAY",
        "100, 1000, 4, CUT_OFF",
        "100, 9000, 4, CUT_OFF",
        "100, 1000, 2, FRESH",
    })
    void peerContactCountsIfRecentAndItsVersionIsInstalled(
            long sinceSentMillis, long ageMillis, long version, Status expected) {
        KeyFreshness freshness = site(Map.of("a", 2));
        reportContact(freshness, "a1", NOW_MILLIS - sinceSentMillis, ageMillis, version);

        assertEquals(expected, freshness.status(NOW_MILLIS));
    }

    @Test
    void contactOfPeerCountsOnceItsVersionIsInstalled() {
        KeyFreshness freshness = site(Map.of("a", 2));
        reportContact(freshness, "a1", NOW_MILLIS, 0, 4);
        assertEquals(Status.CUT_OFF, freshness.status(NOW_MILLIS));
        freshness.onInstalled(4);
        assertEquals(Status.FRESH, freshness.status(NOW_MILLIS));
    }

    @Test
    void readOfNewerHeadIsNoContactUntilInstalled() {
        KeyFreshness freshness = site(Map.of("a", 2));
        freshness.onStoreContact(NOW_MILLIS, 4);
        assertEquals(Status.CUT_OFF, freshness.status(NOW_MILLIS));
    }

    @Test
    void nodeWithoutPeersIsIsolated() {
        KeyFreshness freshness = site(Map.of());
        assertEquals(Status.CUT_OFF, freshness.status(NOW_MILLIS));
    }

    @Test
    void nodeWithoutAnyContactAcceptsNoKeys() {
        KeyFreshness freshness = KeyFreshness.create(
                InstanceId.fromString("a0"), FailureDomainId.fromString("a"), FRESHNESS_MILLIS, EVIDENCE_MILLIS);
        assertEquals(Status.CUT_OFF, freshness.status(0));
        assertEquals(-1, freshness.contactAgeMillis(0));
    }

    /** With 22 failure domains of 82 nodes each, a node receives heartbeats from two representatives of each. */
    @ParameterizedTest
    @CsvSource({"21, 2, STORE_AWAY", "21, 1, CUT_OFF", "20, 2, CUT_OFF"})
    void requiresTwoNodesOfEachLargeFailureDomain(int domainsResponding, int nodesResponding, Status expected) {
        Map<String, Integer> domains = new HashMap<>();
        for (int i = 0; i < 21; i++) {
            domains.put("fd" + i + "-", 82);
        }
        KeyFreshness freshness = site(domains);
        reportContact(freshness, "a1", NOW_MILLIS, -1, 3);
        for (int i = 0; i < domainsResponding; i++) {
            for (int n = 0; n < nodesResponding; n++) {
                reportContact(freshness, "fd" + i + "-" + n, NOW_MILLIS, -1, 3);
            }
        }

        assertEquals(expected, freshness.status(NOW_MILLIS));
    }

    @Test
    void reportPairsContactWithTheVersionThatCoversIt() {
        KeyFreshness freshness = site(Map.of("a", 2));
        freshness.onStoreContact(NOW_MILLIS, 4);
        assertEquals(new KeyFreshness.Report(NOW_MILLIS - LAST_CONTACT_AT_MILLIS, 3), freshness.report(NOW_MILLIS));
        freshness.onInstalled(4);
        freshness.onStoreContact(NOW_MILLIS, 4);
        assertEquals(new KeyFreshness.Report(0, 4), freshness.report(NOW_MILLIS));
    }

    @Test
    void longerFreshnessLimitMakesAnOldContactFresh() {
        KeyFreshness freshness = site(Map.of("a", 2));
        freshness.setTimeLimits(NOW_MILLIS - LAST_CONTACT_AT_MILLIS, EVIDENCE_MILLIS);
        assertEquals(Status.FRESH, freshness.status(NOW_MILLIS));
    }

    @Test
    void nodeWithFreshViewGivesNoEvidence() {
        KeyFreshness freshness = site(Map.of("a", 2));
        reportContact(freshness, "a1", NOW_MILLIS, -1, 3);
        assertEquals(1, freshness.evidence(NOW_MILLIS).size());
        freshness.onStoreContact(NOW_MILLIS, 3);
        assertEquals(Map.of(), freshness.evidence(NOW_MILLIS));
    }

    @Test
    void evidenceIsRelayedWithItsAge() {
        KeyFreshness representative = site(Map.of("a", 9, "b", 9));
        reportContact(representative, "a1", NOW_MILLIS - 200, -1, 3);
        reportContact(representative, "b0", NOW_MILLIS - 300, -1, 3);
        reportContact(representative, "b1", NOW_MILLIS - 400, -1, 3);
        KeyFreshness other = site(Map.of("a", 9, "b", 9));
        reportContact(other, "a1", NOW_MILLIS, -1, 3);
        assertEquals(Status.CUT_OFF, other.status(NOW_MILLIS));
        representative.evidence(NOW_MILLIS).forEach(other::onRelayedEvidence);

        assertEquals(Status.STORE_AWAY, other.status(NOW_MILLIS));
        assertEquals(Status.CUT_OFF, other.status(NOW_MILLIS + EVIDENCE_MILLIS - 399));
    }

    private static KeyFreshness site(Map<String, Integer> nodesByDomain) {
        KeyFreshness freshness = KeyFreshness.create(
                InstanceId.fromString("a0"), FailureDomainId.fromString("a"), FRESHNESS_MILLIS, EVIDENCE_MILLIS);
        Map<InstanceId, FailureDomainId> members = new HashMap<>();
        nodesByDomain.forEach((domain, nodes) -> {
            for (int i = 0; i < nodes; i++) {
                members.put(InstanceId.fromString(domain + i), FailureDomainId.fromString(domain));
            }
        });
        freshness.onMembers(members);
        freshness.onInstalled(3);
        freshness.onStoreContact(LAST_CONTACT_AT_MILLIS, 3);
        return freshness;
    }

    private static void reportContact(
            KeyFreshness freshness, String peer, long sentMillis, long ageMillis, long version) {
        FailureDomainId domain = FailureDomainId.fromString(peer.substring(0, peer.length() - 1));
        freshness.onPeerContact(StoreContact.of(InstanceId.fromString(peer), domain, sentMillis, ageMillis, version));
    }
}
