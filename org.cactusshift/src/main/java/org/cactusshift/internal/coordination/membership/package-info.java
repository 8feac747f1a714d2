/**
 * Membership: which instances exist and respond, by the platform's list and heartbeats between nodes. Its
 * view may be wrong; only leases decide which node may act.
 */
package org.cactusshift.internal.coordination.membership;
