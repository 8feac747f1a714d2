package org.cactusshift.internal.coordination.serving;

import java.util.OptionalInt;
import org.cactusshift.id.AccountId;

/**
 * The client account that owns an API key.
 *
 * @param account the client account
 * @param priority the priority of its requests, 0 being the most urgent, which overrides that of the route; empty when
 *     that of the route applies
 */
public record KeyOwner(AccountId account, OptionalInt priority) {}
