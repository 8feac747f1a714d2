package org.cactusshift.internal.coordination.serving;

import java.util.OptionalInt;
import org.cactusshift.id.AccountId;

/**
 * The client account that holds a key.
 *
 * @param account the client account
 * @param priority its rank, which goes before the route's; 0 is the most urgent
 */
public record KeyOwner(AccountId account, OptionalInt priority) {}
