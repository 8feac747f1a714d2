package org.cactusshift.internal.transport.gateway;

import java.util.Optional;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.KeyId;

/**
 * The sender of a request.
 *
 * @param account the client account; {@link #OPEN_ROUTE} when no key was presented on an open route
 * @param key the key, or empty on an open route
 */
record Caller(AccountId account, Optional<KeyId> key) {
    /** The account of callers without a key. It is not billed, so no usage is recorded for it. */
    static final AccountId OPEN_ROUTE = AccountId.fromString("open-route");

    static Caller anonymous() {
        return new Caller(OPEN_ROUTE, Optional.empty());
    }

    boolean isBilled() {
        return key.isPresent();
    }
}
