package org.cactusshift.internal.coordination.configsync;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.cactusshift.config.AccountConfig;
import org.cactusshift.config.KeyConfig;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.errors.CactusshiftException;
import org.cactusshift.errors.Failure;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.KeyId;

/** Returns copies of a site configuration with changed client keys. */
public final class AccountKeyEditor {
    private static final String STEP = "change keys";

    private AccountKeyEditor() {}

    /**
     * Returns a proposed configuration in which each existing account has the keys of the accepted configuration.
     *
     * <p>Keys are created and revoked without a change of the configuration files; the keys in a file would restore a
     * revoked key and remove a new one.
     *
     * @param proposed the configuration loaded from files
     * @param accepted the accepted configuration
     * @return the proposed configuration with the accepted keys
     */
    public static SiteConfig withAcceptedKeys(SiteConfig proposed, SiteConfig accepted) {
        Map<AccountId, AccountConfig> acceptedById =
                accepted.accounts().stream().collect(Collectors.toMap(AccountConfig::id, Function.identity()));
        List<AccountConfig> accounts = proposed.accounts().stream()
                .map(account -> Optional.ofNullable(acceptedById.get(account.id()))
                        .map(old -> withKeys(account, old.keys()))
                        .orElse(account))
                .toList();
        return withAccounts(proposed, accounts);
    }

    /**
     * Returns the configuration with a key added to an account.
     *
     * @param accepted the accepted configuration
     * @param account the client account
     * @param key the id of the key
     * @param hash the keyed hash of the secret part of the key
     * @return the changed configuration
     * @throws CactusshiftException if there is no such account
     */
    public static SiteConfig add(SiteConfig accepted, AccountId account, KeyId key, String hash)
            throws CactusshiftException {
        requireFound(
                accepted.accounts().stream().anyMatch(existing -> existing.id().equals(account)),
                "client account " + account + " does not exist");
        List<AccountConfig> accounts = accepted.accounts().stream()
                .map(existing -> existing.id().equals(account)
                        ? withKeys(existing, plus(existing.keys(), new KeyConfig(key, hash, false)))
                        : existing)
                .toList();
        return withAccounts(accepted, accounts);
    }

    /**
     * Returns the configuration with a key revoked; the key stays in it, so that its id is not reused.
     *
     * @param accepted the accepted configuration
     * @param key the id of the key
     * @return the changed configuration, equal to the accepted one if the key is already revoked
     * @throws CactusshiftException if there is no such key
     */
    public static SiteConfig revoke(SiteConfig accepted, KeyId key) throws CactusshiftException {
        requireFound(
                accepted.accounts().stream()
                        .flatMap(account -> account.keys().stream())
                        .anyMatch(existing -> existing.id().equals(key)),
                "key " + key + " does not exist");
        List<AccountConfig> accounts = accepted.accounts().stream()
                .map(account -> withKeys(
                        account,
                        account.keys().stream()
                                .map(existing -> existing.id().equals(key)
                                        ? new KeyConfig(existing.id(), existing.hash(), true)
                                        : existing)
                                .toList()))
                .toList();
        return withAccounts(accepted, accounts);
    }

    private static void requireFound(boolean found, String message) throws CactusshiftException {
        if (!found) {
            throw new CactusshiftException(Failure.rejected(STEP, "local", message));
        }
    }

    private static List<KeyConfig> plus(List<KeyConfig> keys, KeyConfig key) {
        List<KeyConfig> all = new ArrayList<>(keys);
        all.add(key);
        return all;
    }

    private static AccountConfig withKeys(AccountConfig account, List<KeyConfig> keys) {
        return new AccountConfig(
                account.id(),
                account.weight(),
                account.tokensPerSecond(),
                account.maximumConcurrentRequests(),
                account.services(),
                keys);
    }

    private static SiteConfig withAccounts(SiteConfig config, List<AccountConfig> accounts) {
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
