package org.cactusshift.internal.state.summary;

import org.cactusshift.id.AccountId;
import org.cactusshift.id.ServiceId;

/**
 * A client account paired with a service that it uses.
 *
 * @param service the service
 * @param account the client account
 */
public record AccountServicePair(ServiceId service, AccountId account) {}
