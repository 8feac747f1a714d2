package org.cactusshift.internal.coordination.key;

import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cactusshift.config.AccountConfig;
import org.cactusshift.config.KeyConfig;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.KeyId;

/** The valid keys of one configuration version. Immutable. */
final class KeyTable {
    static final KeyTable EMPTY = new KeyTable(0, Map.of(), Map.of(), 0, Set.of());

    private final long version;
    private final Map<KeyId, Entry> entries;
    private final Map<AccountConfig, List<Entry>> entriesByAccount;
    private final long revokedVersion;
    private final Set<KeyId> revokedEarly;

    private KeyTable(
            long version,
            Map<KeyId, Entry> entries,
            Map<AccountConfig, List<Entry>> entriesByAccount,
            long revokedVersion,
            Set<KeyId> revokedEarly) {
        this.version = version;
        this.entries = entries;
        this.entriesByAccount = entriesByAccount;
        this.revokedVersion = revokedVersion;
        this.revokedEarly = revokedEarly;
    }

    /** The stored hash of one valid key. */
    record Entry(KeyId id, AccountId account, byte[] hash) {}

    /** Returns the table of a newer configuration; the entries of accounts that are the same objects are reused. */
    KeyTable install(long newVersion, SiteConfig config) {
        Map<KeyId, Entry> newEntries = new HashMap<>();
        Map<AccountConfig, List<Entry>> newByAccount = new IdentityHashMap<>();
        for (AccountConfig account : config.accounts()) {
            List<Entry> existing = entriesByAccount.get(account);
            List<Entry> ofAccount = existing == null ? entriesOf(account) : existing;
            newByAccount.put(account, ofAccount);
            ofAccount.forEach(entry -> newEntries.put(entry.id(), entry));
        }
        boolean superseded = revokedVersion <= newVersion;
        Set<KeyId> stillRevokedEarly = superseded ? Set.of() : revokedEarly;
        return new KeyTable(newVersion, newEntries, newByAccount, revokedVersion, stillRevokedEarly);
    }

    /** Returns the table without the keys that a newer configuration head lists as revoked. */
    KeyTable revoke(long headVersion, Set<KeyId> keys) {
        if (headVersion <= Math.max(version, revokedVersion)) {
            return this;
        }
        return new KeyTable(version, entries, entriesByAccount, headVersion, keys);
    }

    private static List<Entry> entriesOf(AccountConfig account) {
        return account.keys().stream()
                .filter(key -> !key.withdrawn())
                .map((KeyConfig key) -> new Entry(key.id(), account.id(), KeyHasher.decode(key.hash())))
                .toList();
    }

    long version() {
        return version;
    }

    Optional<Entry> find(KeyId id) {
        return revokedEarly.contains(id) ? Optional.empty() : Optional.ofNullable(entries.get(id));
    }
}
