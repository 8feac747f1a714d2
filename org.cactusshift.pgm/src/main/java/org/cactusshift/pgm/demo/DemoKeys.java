package org.cactusshift.pgm.demo;

import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import org.cactusshift.config.AccountConfig;
import org.cactusshift.config.KeyConfig;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.KeyId;
import org.cactusshift.internal.coordination.key.ClientKey;
import org.cactusshift.internal.coordination.key.KeyHasher;

/** Issues keys for the accounts of a configuration and holds them in clear text for the callers of the demo. */
public final class DemoKeys {
    private static final int SECRET_BYTES = 32;

    private final String keyHashSecretHex;
    private final Map<AccountId, ClientKey> keyByAccount = new HashMap<>();

    private DemoKeys(String keyHashSecretHex) {
        this.keyHashSecretHex = keyHashSecretHex;
    }

    /**
     * Creates a key set without keys, with a new random secret for hashing keys.
     *
     * @return the key set
     */
    public static DemoKeys create() {
        byte[] secret = new byte[SECRET_BYTES];
        new SecureRandom().nextBytes(secret);
        return new DemoKeys(HexFormat.of().formatHex(secret));
    }

    /**
     * Returns the secret with which the nodes hash keys.
     *
     * @return the secret, as hex
     */
    public String keyHashSecretHex() {
        return keyHashSecretHex;
    }

    /**
     * Returns the key of an account in the form that callers send.
     *
     * @param account the account, which has a key
     * @return the bearer token
     */
    public String bearer(AccountId account) {
        return keyByAccount.get(account).toBearer();
    }

    /**
     * Generates a new key for each account and returns a configuration with these keys instead of the former ones.
     *
     * @param config the configuration
     * @return the changed configuration
     */
    public SiteConfig withNewKeys(SiteConfig config) {
        KeyHasher hasher = KeyHasher.fromHex(keyHashSecretHex);
        SecureRandom random = new SecureRandom();
        List<AccountConfig> accounts = new ArrayList<>();
        for (AccountConfig account : config.accounts()) {
            KeyId id = KeyId.fromString(account.id() + "-demo");
            ClientKey key = KeyHasher.generate(id, random);
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
}
