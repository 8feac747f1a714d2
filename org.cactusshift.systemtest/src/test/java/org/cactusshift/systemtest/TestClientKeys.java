package org.cactusshift.systemtest;

import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cactusshift.config.AccountConfig;
import org.cactusshift.config.KeyConfig;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.KeyId;
import org.cactusshift.internal.coordination.key.ClientKey;
import org.cactusshift.internal.coordination.key.KeyHasher;

/** Generates a client key for each client account of a test site and holds the keys in clear text. */
final class TestClientKeys {
    /** The secret with which the nodes of a test site hash keys. */
    static final String HASH_SECRET_HEX = "00112233445566778899aabbccddeeff".repeat(2);

    private final Map<AccountId, ClientKey> keyByAccount = new HashMap<>();

    /** Returns a copy of a configuration in which one newly generated key replaces the keys of each client account. */
    SiteConfig withNewKeys(SiteConfig config) {
        KeyHasher hasher = KeyHasher.fromHex(HASH_SECRET_HEX);
        List<AccountConfig> accounts = new ArrayList<>();
        for (AccountConfig account : config.accounts()) {
            KeyId id = KeyId.fromString(account.id() + "-test");
            ClientKey key = KeyHasher.generate(id, new SecureRandom());
            keyByAccount.put(account.id(), key);
            accounts.add(new AccountConfig(
                    account.id(),
                    account.weight(),
                    account.tokensPerSecond(),
                    account.maximumConcurrentRequests(),
                    account.services(),
                    List.of(new KeyConfig(id, hasher.hash(key), false))));
        }
        return new SiteConfig(
                config.schemaVersion(),
                config.site(),
                config.shutdownDate(),
                config.failureDomains(),
                accounts,
                config.services(),
                config.upstreams(),
                config.limits(),
                config.timing());
    }

    String bearerToken(AccountId account) {
        return keyByAccount.get(account).toBearer();
    }
}
