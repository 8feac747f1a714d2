package org.cactusshift.internal.coordination.key;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.security.SecureRandom;
import java.util.Optional;
import org.cactusshift.id.KeyId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class KeyHasherTest {
    private final KeyHasher hasher = KeyHasher.fromHex("00112233445566778899aabbccddeeff");

    @Test
    void issuedKeyMatchesOnlyItsOwnHash() {
        ClientKey key = KeyHasher.generate(KeyId.fromString("a.1"), new SecureRandom());
        ClientKey other = KeyHasher.generate(KeyId.fromString("a.1"), new SecureRandom());
        byte[] hash = KeyHasher.decode(hasher.hash(key));

        assertEquals(Optional.of(key), ClientKey.parse(key.toBearer()));
        assertTrue(hasher.matches(key, hash));
        assertFalse(hasher.matches(other, hash));
        assertFalse(hasher.matches(new ClientKey(KeyId.fromString("a.2"), key.secret()), hash));
        assertNotEquals(hasher.hash(key), KeyHasher.fromHex("ff").hash(key));
    }

    @Test
    void textFormHidesSecret() {
        ClientKey key = new ClientKey(KeyId.fromString("a"), "hidden-part");

        assertFalse(key.toString().contains("hidden-part"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "cs-", "cs-a", "cs-.s", "cs-a.", "sk-a.s", "cs-a b.s", "a.s"})
    void rejectsMalformedKeys(String text) {
        assertEquals(Optional.empty(), ClientKey.parse(text));
    }
}
