package org.cactusshift.internal.coordination.key;

import java.util.Optional;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.KeyId;

/**
 * The result of verifying a presented key.
 *
 * @param status whether the key is accepted
 * @param account the client account of an accepted key; empty otherwise
 * @param key the id of an accepted key; empty otherwise
 */
public record KeyVerdict(Status status, Optional<AccountId> account, Optional<KeyId> key) {
    /** Whether a presented key is accepted. */
    public enum Status {
        /** The key is valid. */
        ACCEPTED,
        /** No key was presented. */
        MISSING,
        /** The key is malformed, unknown, wrong or revoked. */
        INVALID,
        /** The node's key view is stale. */
        STALE_VIEW
    }

    /**
     * Creates a verdict without account.
     *
     * @param status the status
     * @return the verdict
     */
    public static KeyVerdict of(Status status) {
        return new KeyVerdict(status, Optional.empty(), Optional.empty());
    }

    /**
     * Creates the verdict on a valid key.
     *
     * @param account the client account
     * @param key the key's id
     * @return the verdict
     */
    public static KeyVerdict accepted(AccountId account, KeyId key) {
        return new KeyVerdict(Status.ACCEPTED, Optional.of(account), Optional.of(key));
    }
}
