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

/** The keys of the installed configuration version, less those that the head of a newer version revokes. Immutable. */
final class KeyTable {
    static final KeyTable EMPTY = new KeyTable(0, Map.of(), Map.of(), 0, Set.of());

    private final long version;
    private final Map<KeyId, Entry> entryByKeyId;
    private final Map<AccountConfig, List<Entry>> entriesByAccount;
    /** The version of the last head whose revoked keys were applied; 0 before the first. */
    private final long revokingVersion;

    private final Set<KeyId> keysRevokedByHead;

    private KeyTable(
            long version,
            Map<KeyId, Entry> entryByKeyId,
            Map<AccountConfig, List<Entry>> entriesByAccount,
            long revokingVersion,
            Set<KeyId> keysRevokedByHead) {
        this.version = version;
        this.entryByKeyId = entryByKeyId;
        this.entriesByAccount = entriesByAccount;
        this.revokingVersion = revokingVersion;
        this.keysRevokedByHead = keysRevokedByHead;
    }

    /** The stored hash of one valid key. */
    record Entry(KeyId id, AccountId account, byte[] hash) {}

    /** Returns the table of a newer configuration; the entries of accounts that are the same objects are reused. */
    KeyTable install(long newVersion, SiteConfig config) {
        Map<KeyId, Entry> newEntryByKeyId = new HashMap<>();
        Map<AccountConfig, List<Entry>> newEntriesByAccount = new IdentityHashMap<>();
        for (AccountConfig account : config.accounts()) {
            List<Entry> existing = entriesByAccount.get(account);
            List<Entry> ofAccount = existing == null ? entriesOf(account) : existing;
            newEntriesByAccount.put(account, ofAccount);
            ofAccount.forEach(entry -> newEntryByKeyId.put(entry.id(), entry));
        }
        boolean includesRevocations = revokingVersion <= newVersion;
        Set<KeyId> stillRevokedByHead = includesRevocations ? Set.of() : keysRevokedByHead;
        return new KeyTable(newVersion, newEntryByKeyId, newEntriesByAccount, revokingVersion, stillRevokedByHead);
    }

    /** Returns the table without the keys that a newer configuration head lists as revoked. */
    KeyTable revoke(long headVersion, Set<KeyId> keys) {
        if (headVersion <= Math.max(version, revokingVersion)) {
            return this;
        }
        return new KeyTable(version, entryByKeyId, entriesByAccount, headVersion, keys);
    }

    private static List<Entry> entriesOf(AccountConfig account) {
        return account.keys().stream()
                // The configuration calls a revoked key withdrawn.
                .filter(key -> !key.withdrawn())
                .map((KeyConfig key) -> new Entry(key.id(), account.id(), KeyHasher.decode(key.hash())))
                .toList();
    }

    long version() {
        return version;
    }

    Optional<Entry> find(KeyId id) {
        return keysRevokedByHead.contains(id) ? Optional.empty() : Optional.ofNullable(entryByKeyId.get(id));
    }
}
