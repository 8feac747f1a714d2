package org.cactusshift.internal.coordination.key;

import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.id.KeyId;

/**
 * Verifies keys against the installed configuration.
 *
 * <p>Readers see one immutable table, which is replaced as a whole. An unknown key costs the same hash computation as a
 * known one, so that response times do not reveal which key ids exist. Thread-safe.
 */
public final class KeyRing implements KeyVerifier {
    /** The hash that a key with an unknown id is compared with, of the length of an HMAC-SHA-256. */
    private static final byte[] UNKNOWN_KEY_HASH = new byte[32];

    private final KeyHasher hasher;
    private final KeyFreshness freshness;
    private final AtomicReference<KeyTable> table = new AtomicReference<>(KeyTable.EMPTY);

    private KeyRing(KeyHasher hasher, KeyFreshness freshness) {
        this.hasher = hasher;
        this.freshness = freshness;
    }

    /**
     * Creates a verifier without keys.
     *
     * @param hasher hashes presented keys
     * @param freshness decides whether keys may be accepted at all
     * @return the verifier
     */
    public static KeyRing create(KeyHasher hasher, KeyFreshness freshness) {
        return new KeyRing(hasher, freshness);
    }

    /**
     * Installs the keys of a configuration; ignored unless its version is newer than the installed one.
     *
     * @param version the configuration's version
     * @param config the configuration
     */
    public void install(long version, SiteConfig config) {
        table.updateAndGet(old -> version > old.version() ? old.install(version, config) : old);
    }

    /**
     * Stops accepting the keys that a newer configuration revokes, before that configuration is installed. Ignored
     * unless the version is newer than the installed one and than that of each earlier revocation.
     *
     * @param version the version that revokes the keys
     * @param keys all keys that the head of that version lists as revoked; they replace those of an earlier version
     */
    public void revoke(long version, Collection<KeyId> keys) {
        table.updateAndGet(old -> old.revoke(version, Set.copyOf(keys)));
    }

    @Override
    public KeyVerdict verify(Optional<String> bearerToken, long nowMillis) {
        if (bearerToken.isEmpty()) {
            return KeyVerdict.of(KeyVerdict.Status.MISSING);
        }
        if (freshness.status(nowMillis) == KeyFreshness.Status.CUT_OFF) {
            return KeyVerdict.of(KeyVerdict.Status.STALE_VIEW);
        }
        Optional<ClientKey> presented = ClientKey.parse(bearerToken.get());
        if (presented.isEmpty()) {
            return KeyVerdict.of(KeyVerdict.Status.INVALID);
        }
        Optional<KeyTable.Entry> found = table.get().find(presented.get().id());
        byte[] hash = found.map(KeyTable.Entry::hash).orElse(UNKNOWN_KEY_HASH);
        boolean matches = hasher.matches(presented.get(), hash);
        return found.filter(entry -> matches)
                .map(entry -> KeyVerdict.accepted(entry.account(), entry.id()))
                .orElseGet(() -> KeyVerdict.of(KeyVerdict.Status.INVALID));
    }

    @Override
    public boolean isStillValid(KeyId key, long nowMillis) {
        return freshness.status(nowMillis) != KeyFreshness.Status.CUT_OFF
                && table.get().find(key).isPresent();
    }
}
