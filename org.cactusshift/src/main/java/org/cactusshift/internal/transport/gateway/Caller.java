package org.cactusshift.internal.transport.gateway;

import java.util.Optional;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.KeyId;

/**
 * The client account and key by which a request was authenticated. An open route is a service that accepts requests
 * without a key.
 *
 * @param account the client account; {@link #ANONYMOUS_ACCOUNT} if the request to an open route had no key
 * @param key the key, or empty if the request had none
 */
record Caller(AccountId account, Optional<KeyId> key) {
    /** The account of callers without a key. It is not billed, so no usage is recorded for it. */
    static final AccountId ANONYMOUS_ACCOUNT = AccountId.fromString("open-route");

    static Caller anonymous() {
        return new Caller(ANONYMOUS_ACCOUNT, Optional.empty());
    }

    boolean isBilled() {
        return key.isPresent();
    }
}
