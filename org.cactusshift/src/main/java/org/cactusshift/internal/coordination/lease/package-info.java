/** Duty leases: which node holds a duty, with expiry on the holder's own clock and fencing by store revisions. */
package org.cactusshift.internal.coordination.lease;
