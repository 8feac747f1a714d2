package org.cactusshift.internal.transport.gateway;

import java.util.Optional;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.KeyId;

/**
 * Who sent a request.
 *
 * @param account the client account; {@link #OPEN_ROUTE} when no key was presented on an open route
 * @param key the key, or empty on an open route
 */
record Caller(AccountId account, Optional<KeyId> key) {
    /** Stands for callers without a key. Nobody pays for their requests, so no usage is recorded under it. */
    static final AccountId OPEN_ROUTE = AccountId.fromString("open-route");

    static Caller anonymous() {
        return new Caller(OPEN_ROUTE, Optional.empty());
    }

    boolean isBilled() {
        return key.isPresent();
    }
}
