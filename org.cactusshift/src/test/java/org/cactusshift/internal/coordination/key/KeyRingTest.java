package org.cactusshift.internal.coordination.key;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import org.cactusshift.config.AccountConfig;
import org.cactusshift.config.ExampleConfigs;
import org.cactusshift.config.KeyConfig;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.KeyId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class KeyRingTest {
    private static final AccountId ACCOUNT = AccountId.fromString("crew");

    private final KeyHasher hasher = KeyHasher.fromHex("00112233445566778899aabbccddeeff");
    private final ClientKey key = KeyHasher.generate(KeyId.fromString("crew-1"), new SecureRandom());
    private final KeyFreshness freshness =
            KeyFreshness.create(InstanceId.fromString("n0"), FailureDomainId.fromString("a"), 4000, 2000);
    private final KeyRing ring = KeyRing.create(hasher, freshness);

    @BeforeEach
    void installKey() throws Exception {
        ring.install(5, config(false));
        freshness.onInstalled(5);
        freshness.onStoreContact(0, 5);
    }

    @Test
    void acceptsOnlyTheKeyItself() {
        assertEquals(KeyVerdict.accepted(ACCOUNT, key.id()), verify(key.toBearer()));
        assertEquals(KeyVerdict.Status.INVALID, verify(key.toBearer() + "x").status());
        assertEquals(KeyVerdict.Status.INVALID, verify("cs-other.secret").status());
        assertEquals(KeyVerdict.Status.INVALID, verify("nonsense").status());
        assertEquals(KeyVerdict.Status.MISSING, ring.verify(Optional.empty(), 0).status());
    }

    @ParameterizedTest
    @CsvSource({"4000, ACCEPTED", "4001, STALE_VIEW"})
    void acceptsKeysWhileKeyViewIsFresh(long nowMillis, KeyVerdict.Status status) {
        assertEquals(status, ring.verify(Optional.of(key.toBearer()), nowMillis).status());
        assertEquals(status == KeyVerdict.Status.ACCEPTED, ring.isStillValid(key.id(), nowMillis));
    }

    @Test
    void revocationTakesEffectBeforeAndAfterItsConfigurationIsInstalled() throws Exception {
        ring.revoke(7, List.of(key.id()));
        assertFalse(ring.isStillValid(key.id(), 0));
        assertEquals(KeyVerdict.Status.INVALID, verify(key.toBearer()).status());
        ring.install(6, config(false));
        assertFalse(ring.isStillValid(key.id(), 0), "a version older than the revocation does not restore the key");
        ring.install(7, config(true));
        assertFalse(ring.isStillValid(key.id(), 0));
        ring.install(6, config(false));
        assertFalse(ring.isStillValid(key.id(), 0), "an older version is never installed");
        ring.install(8, config(false));
        assertTrue(ring.isStillValid(key.id(), 0));
    }

    @Test
    void revocationByInstalledVersionIsIgnored() {
        ring.revoke(5, List.of(key.id()));

        assertTrue(ring.isStillValid(key.id(), 0));
    }

    private KeyVerdict verify(String bearer) {
        return ring.verify(Optional.of(bearer), 0);
    }

    private SiteConfig config(boolean revoked) throws Exception {
        SiteConfig example = ExampleConfigs.site("be-coast");
        AccountConfig account = new AccountConfig(
                ACCOUNT, 1, 1, 1, List.of(), List.of(new KeyConfig(key.id(), hasher.hash(key), revoked)));
        return new SiteConfig(
                1,
                example.site(),
                example.shutdownDate(),
                example.failureDomains(),
                List.of(account),
                example.services(),
                example.upstreams(),
                example.limits(),
                example.timing());
    }
}
