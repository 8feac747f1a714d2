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

/** The usable keys of one configuration version; immutable. */
final class KeyTable {
    static final KeyTable EMPTY = new KeyTable(0, Map.of(), Map.of(), 0, Set.of());

    private final long version;
    private final Map<KeyId, Entry> entries;
    private final Map<AccountConfig, List<Entry>> entriesByAccount;
    private final long withdrawnVersion;
    private final Set<KeyId> withdrawnEarly;

    private KeyTable(
            long version,
            Map<KeyId, Entry> entries,
            Map<AccountConfig, List<Entry>> entriesByAccount,
            long withdrawnVersion,
            Set<KeyId> withdrawnEarly) {
        this.version = version;
        this.entries = entries;
        this.entriesByAccount = entriesByAccount;
        this.withdrawnVersion = withdrawnVersion;
        this.withdrawnEarly = withdrawnEarly;
    }

    /** The stored hash of one usable key. */
    record Entry(KeyId id, AccountId account, byte[] hash) {}

    /** Returns the table of a newer configuration; hashes of accounts that are the same objects are taken over. */
    KeyTable install(long newVersion, SiteConfig config) {
        Map<KeyId, Entry> newEntries = new HashMap<>();
        Map<AccountConfig, List<Entry>> newByAccount = new IdentityHashMap<>();
        for (AccountConfig account : config.accounts()) {
            List<Entry> known = entriesByAccount.get(account);
            List<Entry> ofAccount = known == null ? entriesOf(account) : known;
            newByAccount.put(account, ofAccount);
            ofAccount.forEach(entry -> newEntries.put(entry.id(), entry));
        }
        boolean overtaken = withdrawnVersion <= newVersion;
        Set<KeyId> stillEarly = overtaken ? Set.of() : withdrawnEarly;
        return new KeyTable(newVersion, newEntries, newByAccount, withdrawnVersion, stillEarly);
    }

    /** Returns the table without keys that a newer head names as withdrawn. */
    KeyTable revoke(long headVersion, Set<KeyId> keys) {
        if (headVersion <= Math.max(version, withdrawnVersion)) {
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
        return withdrawnEarly.contains(id) ? Optional.empty() : Optional.ofNullable(entries.get(id));
    }
}
