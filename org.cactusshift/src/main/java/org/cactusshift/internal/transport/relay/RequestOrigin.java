package org.cactusshift.internal.transport.relay;

import java.util.Optional;
import org.cactusshift.id.AccountId;

/**
 * Where a request comes from and what was decided there.
 *
 * @param account the client account, empty when the route needs no key
 * @param configVersion the version of the configuration against which the request was checked
 * @param quotaCharge what the request was charged on the quota of its account
 * @param isPeer whether a peer passed on the request, so that it is not passed on again
 */
record RequestOrigin(Optional<AccountId> account, long configVersion, QuotaCharge quotaCharge, boolean isPeer) {}
